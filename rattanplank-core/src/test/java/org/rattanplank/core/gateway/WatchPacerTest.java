package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the calls for a store that changes often, as when many hosts restart while configurations follow each other. */
class WatchPacerTest {
    private static final long CHANGE_INTERVAL_MILLIS = 60;
    private static final long SERIES_MILLIS = 30_000;

    private final WatchPacer pacer = new WatchPacer();

    /** Guards against a call of each watcher for nearly each change, which grows with the hosts that restart. */
    @Test
    void shouldMakeAtMostTwoCallsPerSecondWhenTheStoreChangesAllTheTime() {
        int calls = 0;
        for (long now = 0; now < SERIES_MILLIS; calls++) {
            now += CHANGE_INTERVAL_MILLIS + pacer.pauseAfterChanges(CHANGE_INTERVAL_MILLIS);
        }

        assertTrue(calls <= 2 * SERIES_MILLIS / 1_000, calls + " calls");
    }

    /** Guards against changes that are observed late because the store changed often some time ago. */
    @Test
    void shouldPauseBrieflyWhenTheStoreWasQuiet() {
        for (int i = 0; i < 10; i++) {
            pacer.pauseAfterChanges(CHANGE_INTERVAL_MILLIS);
        }

        assertEquals(WatchPacer.MIN_PAUSE_MILLIS, pacer.pauseAfterChanges(2_000));
    }

    @Test
    void shouldNeverPauseLongerThanTheMaximumWhenTheSeriesLasts() {
        for (int i = 0; i < 100; i++) {
            assertTrue(pacer.pauseAfterChanges(0) <= WatchPacer.MAX_PAUSE_MILLIS);
        }
    }
}
