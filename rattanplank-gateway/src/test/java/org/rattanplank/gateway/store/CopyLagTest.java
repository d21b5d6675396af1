package org.rattanplank.gateway.store;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CopyLagTest {
    private final CopyLag lag = new CopyLag();

    @Test
    void shouldCountFromTheFirstReportWhenTheCopyLacksARevision() {
        lag.heard(10, 1_000);
        lag.heard(11, 1_500);

        assertEquals(800, lag.millis(9, 1_800));
    }

    @Test
    void shouldBeZeroWhenTheCopyIsCompleteUpToTheNewestRevision() {
        lag.heard(10, 1_000);

        assertEquals(0, lag.millis(10, 1_800));
        assertEquals(10, lag.newestRevision());
    }

    /** Guards against a lag that grows without end at a host that is always one change behind. */
    @Test
    void shouldCountFromTheNewerReportWhenTheCopyHasReachedTheOlder() {
        lag.heard(10, 1_000);
        lag.heard(11, 1_500);

        assertEquals(300, lag.millis(10, 1_800));
        assertEquals(0, lag.millis(11, 1_900));
    }

    @Test
    void shouldIgnoreAReportWhenItIsOlder() {
        lag.heard(10, 1_000);
        lag.heard(-1, 1_100);
        lag.heard(5, 1_200);

        assertEquals(10, lag.newestRevision());
    }
}
