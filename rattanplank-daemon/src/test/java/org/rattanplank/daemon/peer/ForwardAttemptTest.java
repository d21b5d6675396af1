package org.rattanplank.daemon.peer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.daemon.TestFixtures;
import org.rattanplank.daemon.TestFixtures.RecordingRequester;
import org.rattanplank.schema.message.ForwardHead;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ForwardAttemptTest {
    private final ForwardAttempt attempt =
            new ForwardAttempt(TestFixtures.call("r1", "/book", new RecordingRequester()), 1, "host-2", 1_000);

    /** Guards against an answer with an invalid status that a host of an earlier version passes on. */
    @ParameterizedTest
    @ValueSource(longs = {-200, 0, 99, 600, 999, 2_000, (1L << 32) + 200})
    void shouldBeLostWhenTheHostPassesOnAnInvalidStatus(long status) {
        assertInstanceOf(
                AttemptResult.Lost.class,
                attempt.receive(new ForwardHead("r1", 1, status, "", "t1")).get());
    }

    @Test
    void shouldGoOnWhenTheStatusIsValid() {
        assertTrue(attempt.receive(new ForwardHead("r1", 1, 503, "", "t1")).isEmpty());
    }
}
