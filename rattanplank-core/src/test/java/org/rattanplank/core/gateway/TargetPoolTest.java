package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetPoolTest {
    private static final String DATA_CENTRE = "suva-hall";

    private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));

    private boolean usable(String id, long nowMillis) {
        return pool.find(id).exists(target -> pool.isUsable(target, nowMillis));
    }

    @Test
    void shouldIgnoreTargetsWhenTheyAreInAnotherRegion() {
        assertTrue(pool.register(Samples.target("a", "labasa-hall", false, 0), 0)
                .changed()
                .isEmpty());
        assertTrue(pool.find("a").isEmpty());
    }

    /**
     * Guards against requests reaching a target seconds after it announced that it is leaving. An older entry of it is
     * read from another host afterwards; it comes about when the older entry replaces the newer one.
     */
    @Test
    void shouldNeverUseATargetAgainWhenItReportedThatItIsLeaving() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("a", DATA_CENTRE, true, 0), 10);
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 20);

        assertFalse(usable("a", 30));
    }

    @Test
    void shouldNotRestoreATargetWhenItsEntryWasRemoved() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.remove("a", 10);
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 20);

        assertTrue(pool.find("a").isEmpty());
    }

    /**
     * Guards against a region without targets for seconds after a store outage. Entries expire during the outage, the
     * first list after it lacks them, and the targets register again within two seconds; it comes about when a missing
     * entry is taken for a target that has left.
     */
    @Test
    void shouldKeepATargetWhenItsEntryExpiredInAnOutageAndIsRestored() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.recordStoreRecovery(1_000);
        pool.remove("a", 1_010);

        assertTrue(usable("a", 1_500));
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 2_900);
        assertTrue(pool.tick(1_000 + TargetPool.REMOVAL_GRACE_MILLIS).isEmpty());
        assertTrue(usable("a", 1_000 + TargetPool.REMOVAL_GRACE_MILLIS));
    }

    @Test
    void shouldDropATargetWhenItsEntryIsNotRestoredAfterAnOutage() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.recordStoreRecovery(1_000);
        pool.remove("a", 1_010);

        assertEquals(List.of("a"), pool.tick(1_000 + TargetPool.REMOVAL_GRACE_MILLIS));
        assertTrue(pool.find("a").isEmpty());
    }

    @Test
    void shouldSendNothingWhenADataCentreIsEvacuatedAndTreatItAsColdAfterwards() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.evacuate(DATA_CENTRE, true, 10);
        assertFalse(usable("a", 20));

        pool.evacuate(DATA_CENTRE, false, 5_000);
        assertTrue(usable("a", 5_010));
        assertTrue(pool.find("a").get().isCold(5_010));
    }

    /**
     * Guards against a healthy target getting nothing for two minutes, or a burst while it is cold. It leaves, or
     * crashes behind a partition, and restarts under its identifier; it comes about when the state of the earlier
     * incarnation (leaving, cached parts, warm) is applied to the later one.
     */
    @Test
    void shouldApplyNoStateOfTheEarlierIncarnationWhenATargetRestarts() {
        Work work = new Work(100, 10, List.of(new PromptPart("p", 90), new PromptPart("own", 10)), Urgency.FIRST, 0);
        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 0);
        GatewayTarget earlier = pool.find("a").get();
        earlier.reserve(work, 1_000, 5);
        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, true, 0), 10);

        EntryChange change = pool.register(Samples.incarnation("a", 2_000, DATA_CENTRE, false, 500), 20);
        GatewayTarget later = change.changed().get();

        assertEquals(Option.some(earlier), change.terminated());
        assertTrue(earlier.isTerminated());
        assertTrue(usable("a", 30));
        assertTrue(later.isCold(30));
        assertEquals(0, later.cachedTokens(work.sharedParts()));
        assertEquals(InFlightWork.NONE, later.totalWork());
    }

    @Test
    void shouldAddALaterIncarnationWhenTheEarlierOneWasRemoved() {
        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 0);
        pool.remove("a", 10);
        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 20);
        assertTrue(pool.find("a").isEmpty());

        pool.register(Samples.incarnation("a", 2_000, DATA_CENTRE, false, 0), 30);
        assertTrue(usable("a", 40));
    }

    @Test
    void shouldDropTheEarlierIncarnationWhenTheLaterOneStartsInAnotherRegion() {
        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 0);

        EntryChange change = pool.register(Samples.incarnation("a", 2_000, "labasa-hall", false, 0), 10);

        assertTrue(change.changed().isEmpty());
        assertEquals("a@1000", change.terminated().get().incarnationText());
        assertTrue(pool.find("a").isEmpty());

        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 20);
        assertTrue(pool.find("a").isEmpty());
    }

    @Test
    void shouldFindAnIncarnationOnlyWhenItIsTheCurrentOne() {
        pool.register(Samples.incarnation("a", 2_000, DATA_CENTRE, false, 0), 0);

        assertTrue(pool.findIncarnation("a@2000").isDefined());
        assertTrue(pool.findIncarnation("a@1000").isEmpty());
        assertTrue(pool.findIncarnation("a").isEmpty());
    }

    /**
     * Guards against requests to an unintended address. Another writer replaces a target's entry by an unreadable one,
     * and the target's own next entry is readable; it comes about when the earlier entry stays in use, or the target is
     * considered removed permanently.
     */
    @Test
    void shouldSendNothingWhenATargetsEntryIsUnreadable() {
        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 0);
        pool.markUnreadable("a");
        assertFalse(usable("a", 10));

        pool.register(Samples.incarnation("a", 1_000, DATA_CENTRE, false, 0), 20);
        assertTrue(usable("a", 30));
    }

    @Test
    void shouldNotUseAnEntryWithoutIncarnationWhenOthersReportTheirs() {
        pool.register(Samples.incarnation("a", 0, DATA_CENTRE, false, 0), 0);
        assertTrue(usable("a", 10));

        pool.register(Samples.incarnation("b", 1_000, DATA_CENTRE, false, 0), 20);
        assertFalse(usable("a", 30));
        assertTrue(usable("b", 30));
    }

    /** Guards against a target that left and stays in use for as long as the store keeps failing and recovering. */
    @Test
    void shouldDropARemovedTargetInTimeWhenTheStoreRecoversAgainMeanwhile() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.recordStoreRecovery(0);
        pool.remove("a", 100);

        for (long now = 500; now < TargetPool.REMOVAL_GRACE_MILLIS; now += 500) {
            pool.recordStoreRecovery(now);
            pool.extendRemovalGrace(TargetPool.REMOVAL_GRACE_MILLIS, now);
        }

        assertEquals(List.of("a"), pool.tick(TargetPool.REMOVAL_GRACE_MILLIS));
    }

    /** Guards against requests to a data centre that is being evacuated, as the store came back without the request for it. */
    @Test
    void shouldKeepADataCentreEvacuatedWhenItsRequestIsMissingForAMomentAfterAnOutage() {
        pool.evacuate("suva-hall", true, 0);
        pool.recordStoreRecovery(1_000);

        pool.evacuate("suva-hall", false, 1_100);
        pool.tick(2_000);
        assertEquals(Set.of("suva-hall"), pool.evacuated());
        pool.evacuate("suva-hall", true, 2_100);
        pool.tick(10_000);
        assertEquals(Set.of("suva-hall"), pool.evacuated());

        pool.recordStoreRecovery(20_000);
        pool.evacuate("suva-hall", false, 20_100);
        pool.tick(20_000 + TargetPool.REMOVAL_GRACE_MILLIS);
        assertEquals(Set.of(), pool.evacuated());
    }
}
