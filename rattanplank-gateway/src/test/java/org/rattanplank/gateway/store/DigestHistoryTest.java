package org.rattanplank.gateway.store;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DigestHistoryTest {
    private final DigestHistory history = new DigestHistory();

    @Test
    void shouldKnowASumAgainWhenItWasReplacedALittleWhileAgo() {
        history.replaced(7, 1_000);

        assertTrue(history.held(7, 1_000));
        assertFalse(history.held(7, 1_001));
        assertFalse(history.held(8, 0));
    }

    @Test
    void shouldForgetTheOldestWhenThereAreMoreThanItKeeps() {
        for (int i = 0; i <= DigestHistory.MOST; i++) {
            history.replaced(i, i);
        }

        assertFalse(history.held(0, 0));
        assertTrue(history.held(1, 0));
    }
}
