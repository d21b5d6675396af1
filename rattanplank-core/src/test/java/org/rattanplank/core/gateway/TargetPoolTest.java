package org.rattanplank.core.gateway;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetPoolTest {
    private static final String HALL = "suva-hall";

    private final TargetPool pool = TargetPool.of(Set.of(HALL));

    private boolean usable(String id, long nowMillis) {
        return pool.find(id).exists(target -> pool.mayUse(target, nowMillis));
    }

    @Test
    void shouldPassOverTargetsWhenTheyStandInAnotherRegion() {
        assertFalse(pool.entered(Samples.target("a", "labasa-hall", false, 0), 0));
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
        assertTrue(pool.tick(1_000 + TargetPool.RETURN_MILLIS).isEmpty());
        assertTrue(usable("a", 1_000 + TargetPool.RETURN_MILLIS));
    }

    @Test
    void shouldDropATargetWhenItsEntryDoesNotComeBackAfterAnOutage() {
        pool.entered(Samples.target("a", HALL, false, 0), 0);
        pool.storeReturned(1_000);
        pool.removed("a", 1_010);

        assertEquals(java.util.List.of("a"), pool.tick(1_000 + TargetPool.RETURN_MILLIS));
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
}
