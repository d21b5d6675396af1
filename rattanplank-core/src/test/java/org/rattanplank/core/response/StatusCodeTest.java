package org.rattanplank.core.response;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Guards against a status that no response may have, and against a valid one that is refused. */
class StatusCodeTest {
    @Test
    void shouldBeValidWhenItIsWithinTheRange() {
        for (int code = 0; code < 1_000; code++) {
            boolean expected = code >= 100 && code <= 599;
            assertEquals(expected, StatusCode.isValid(code));
            assertEquals(expected, StatusCode.isValid(String.format("%03d", code)));
        }
        assertFalse(StatusCode.isValid(-200));
        assertFalse(StatusCode.isValid((1L << 32) + 200));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "2", "20", "+20", "-20", "+200", "0200", "2000", "20x", "2 0", " 200", "\u0662\u0660\u0660"})
    void shouldBeInvalidWhenTheTextHasNotThreeDigits(String text) {
        assertFalse(StatusCode.isValid(text));
    }
}
