package org.rattanplank.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetPauseTest {
    private final TargetPause pause = new TargetPause();

    /** Guards against a pause that a later answer to an earlier request shortens. */
    @Test
    void shouldKeepTheLaterEndWhenAShorterPauseFollows() {
        assertTrue(pause.request(3_000, 0));
        assertFalse(pause.request(500, 10));
        pause.start(50, 20);

        assertTrue(pause.isActive(2_999));
        assertEquals(1, pause.requestedMillis(2_999));
        assertFalse(pause.isActive(3_000));
    }

    @Test
    void shouldRequestNothingWhenThePauseIsTheHostsOwn() {
        pause.start(50, 0);

        assertTrue(pause.isActive(49));
        assertEquals(0, pause.requestedMillis(0));
        assertFalse(pause.isOnTrial());
    }

    /** Guards against a target that gets all waiting requests at once when its pause is over, and asks for the next. */
    @Test
    void shouldBeOnTrialUntilItAnswersWhenItsPauseIsOver() {
        pause.request(1_000, 0);
        pause.recordAnswer(500);
        assertTrue(pause.isOnTrial());

        pause.recordAnswer(1_000);

        assertFalse(pause.isOnTrial());
    }
}
