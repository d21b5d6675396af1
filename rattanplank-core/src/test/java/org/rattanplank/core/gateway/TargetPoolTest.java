package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetPoolTest {
    private static final String HALL = "suva-hall";

    private final TargetPool pool = TargetPool.of(Set.of(HALL));

    private boolean usable(String id, long nowMillis) {
        return pool.find(id).exists(target -> pool.isUsable(target, nowMillis));
    }

    @Test
    void shouldPassOverTargetsWhenTheyStandInAnotherRegion() {
        assertTrue(pool.entered(Samples.target("a", "labasa-hall", false, 0), 0)
                .changed()
                .isEmpty());
        assertTrue(pool.find("a").isEmpty());
    }

    /**
     * Symptom: a request reaches a target seconds after it said that it leaves. Sequence: the target says so; an older
     * entry of it is read from another host. Cause: the newer word was replaced by the older one.
     */
    @Test
    void shouldNeverUseATargetAgainWhenItSaidThatItLeaves() {
        pool.entered(Samples.target("a", HALL, false, 0), 0);
        pool.entered(Samples.target("a", HALL, true, 0), 10);
        pool.entered(Samples.target("a", HALL, false, 0), 20);

        assertFalse(usable("a", 30));
    }

    @Test
    void shouldNotTakeATargetBackWhenItsEntryWasRemoved() {
        pool.entered(Samples.target("a", HALL, false, 0), 0);
        pool.removed("a", 10);
        pool.entered(Samples.target("a", HALL, false, 0), 20);

        assertTrue(pool.find("a").isEmpty());
    }

    /**
     * Symptom: a region has no targets for seconds after the store was out. Sequence: entries lapse during the outage;
     * the first list after it lacks them; the targets enter themselves again within two seconds. Cause: a missing entry
     * was taken for a target that has left.
     */
    @Test
    void shouldKeepATargetWhenItsEntryLapsedWithTheStoreAndComesBack() {
        pool.entered(Samples.target("a", HALL, false, 0), 0);
        pool.storeReturned(1_000);
        pool.removed("a", 1_010);

        assertTrue(usable("a", 1_500));
        pool.entered(Samples.target("a", HALL, false, 0), 2_900);
        assertTrue(pool.tick(1_000 + TargetPool.REMOVAL_GRACE_MILLIS).isEmpty());
        assertTrue(usable("a", 1_000 + TargetPool.REMOVAL_GRACE_MILLIS));
    }

    @Test
    void shouldDropATargetWhenItsEntryDoesNotComeBackAfterAnOutage() {
        pool.entered(Samples.target("a", HALL, false, 0), 0);
        pool.storeReturned(1_000);
        pool.removed("a", 1_010);

        assertEquals(List.of("a"), pool.tick(1_000 + TargetPool.REMOVAL_GRACE_MILLIS));
        assertTrue(pool.find("a").isEmpty());
    }

    @Test
    void shouldSendNothingWhenADataCentreIsEvacuatedAndTreatItAsColdAfterwards() {
        pool.entered(Samples.target("a", HALL, false, 0), 0);
        pool.evacuate(HALL, true, 10);
        assertFalse(usable("a", 20));

        pool.evacuate(HALL, false, 5_000);
        assertTrue(usable("a", 5_010));
        assertTrue(pool.find("a").get().isCold(5_010));
    }

    /**
     * Symptom: a target that is well gets nothing for two minutes, or a burst while it is cold. Sequence: it leaves, or
     * crashes behind a cut, and starts again under its identifier. Cause: what was believed of the earlier run, that it
     * left, what it keeps and that it is warm, was believed of the later one.
     */
    @Test
    void shouldBelieveNothingOfTheEarlierRunWhenATargetStartsAgain() {
        Work work = new Work(100, 10, List.of(new PromptPart("p", 90), new PromptPart("own", 10)), Urgency.FIRST, 0);
        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 0);
        GatewayTarget earlier = pool.find("a").get();
        earlier.reserve(work, 1_000, 5);
        pool.entered(Samples.run("a", 1_000, HALL, true, 0), 10);

        EntryChange change = pool.entered(Samples.run("a", 2_000, HALL, false, 500), 20);
        GatewayTarget later = change.changed().get();

        assertEquals(Option.some(earlier), change.ended());
        assertTrue(earlier.hasEnded());
        assertTrue(usable("a", 30));
        assertTrue(later.isCold(30));
        assertEquals(0, later.cachedTokens(work.sharedParts()));
        assertEquals(SentWork.NONE, later.all());
    }

    @Test
    void shouldTakeALaterRunWhenTheEarlierOneIsGone() {
        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 0);
        pool.removed("a", 10);
        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 20);
        assertTrue(pool.find("a").isEmpty());

        pool.entered(Samples.run("a", 2_000, HALL, false, 0), 30);
        assertTrue(usable("a", 40));
    }

    @Test
    void shouldDropTheEarlierRunWhenTheLaterOneStartsInAnotherRegion() {
        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 0);

        EntryChange change = pool.entered(Samples.run("a", 2_000, "labasa-hall", false, 0), 10);

        assertTrue(change.changed().isEmpty());
        assertEquals("a@1000", change.ended().get().runText());
        assertTrue(pool.find("a").isEmpty());

        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 20);
        assertTrue(pool.find("a").isEmpty());
    }

    @Test
    void shouldFindARunOnlyWhenItIsTheOneThatLives() {
        pool.entered(Samples.run("a", 2_000, HALL, false, 0), 0);

        assertTrue(pool.findRun("a@2000").isDefined());
        assertTrue(pool.findRun("a@1000").isEmpty());
        assertTrue(pool.findRun("a").isEmpty());
    }

    /**
     * Symptom: requests go to an address that nobody meant. Sequence: another writer replaces a target's entry by one that
     * can't be read; the target's own next entry is sound. Cause: the entry before was believed on, or the target was
     * taken for gone for good.
     */
    @Test
    void shouldSendNothingWhileATargetsEntryCanNotBeRead() {
        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 0);
        pool.unreadable("a");
        assertFalse(usable("a", 10));

        pool.entered(Samples.run("a", 1_000, HALL, false, 0), 20);
        assertTrue(usable("a", 30));
    }

    @Test
    void shouldNotUseAnEntryThatTellsNoRunWhenOthersTellTheirs() {
        pool.entered(Samples.run("a", 0, HALL, false, 0), 0);
        assertTrue(usable("a", 10));

        pool.entered(Samples.run("b", 1_000, HALL, false, 0), 20);
        assertFalse(usable("a", 30));
        assertTrue(usable("b", 30));
    }
}
