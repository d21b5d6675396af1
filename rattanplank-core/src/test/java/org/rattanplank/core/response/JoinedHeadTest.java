package org.rattanplank.core.response;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a head of two responses that is taken for one, and against a sound one that is refused. */
class JoinedHeadTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 X",
                "OKHTTP/1.1 500",
                "gzipHTTP/1.0  503 Busy",
                "a\rhttp/1.1 200 OK",
                "HTTP/1.1\t204"
            })
    void shouldBeJoinedWhenALineContainsAStatusLine(String line) {
        assertTrue(JoinedHead.isJoined(line, List.of()));
        assertTrue(JoinedHead.isJoined("OK", List.of(Map.entry("Server", "a"), Map.entry("Via", line))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "OK",
                "Very Bad HTTP Day",
                "HTTP/1.1 gateway",
                "1.1 a, HTTP/1.1 5001",
                "text/plain",
                "HTTP/1.1"
            })
    void shouldNotBeJoinedWhenNoLineContainsAStatusLine(String line) {
        assertFalse(JoinedHead.isJoined(line, List.of(Map.entry("Via", line))));
    }

    @Test
    void shouldNotBeJoinedWhenItHasNoHeaders() {
        assertFalse(JoinedHead.isJoined("OK", List.of()));
    }
}
