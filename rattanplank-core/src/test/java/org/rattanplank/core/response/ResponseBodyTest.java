package org.rattanplank.core.response;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests when a response counts as complete. */
class ResponseBodyTest {
    private static Completeness atEnd(BodyFraming framing, boolean eventStream, String text) {
        ResponseBody body = ResponseBody.of(framing, eventStream);
        for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
            body.append(each);
        }
        return body.atEnd();
    }

    @Provide
    Arbitrary<List<String>> events() {
        return Arbitraries.of("id: 1\ndata: a", "data: b", "data: c\ndata", ": comment", "event: x\nid: 7\ndata:")
                .list()
                .ofMaxSize(4);
    }

    /** Guards against a stream that counts as whole though its connection ended inside an event. */
    @Property
    void shouldBeTruncatedExactlyInsideAnEventWhenItsConnectionEnded(
            @ForAll("events") List<String> events, @ForAll boolean carriageReturns) {
        String lineEnd = carriageReturns ? "\r\n" : "\n";
        StringBuilder stream = new StringBuilder();
        Set<Integer> boundaries = new HashSet<>(Set.of(0));
        for (String event : events) {
            stream.append(event.replace("\n", lineEnd)).append(lineEnd).append(lineEnd);
            boundaries.add(stream.length());
        }

        for (int length = 0; length <= stream.length(); length++) {
            Completeness expected =
                    boundaries.contains(length) ? Completeness.UNLESS_TERMINATED : Completeness.TRUNCATED;
            assertEquals(expected, atEnd(BodyFraming.CLOSE_DELIMITED, true, stream.substring(0, length)));
        }
    }

    @Property
    void shouldBeCompleteWhenTheTargetMarkedItsEnd(@ForAll String text, @ForAll boolean eventStream) {
        assertEquals(Completeness.COMPLETE, atEnd(BodyFraming.DELIMITED, eventStream, text));
    }

    @Property
    void shouldDependOnTheTargetsProcessWhenABodyThatIsNoStreamEndsWithItsConnection(@ForAll String text) {
        assertEquals(Completeness.UNLESS_TERMINATED, atEnd(BodyFraming.CLOSE_DELIMITED, false, text));
    }

    @Test
    void shouldRecognizeEventsWhenLinesEndWithCarriageReturnsAlone() {
        assertEquals(
                Completeness.UNLESS_TERMINATED, atEnd(BodyFraming.CLOSE_DELIMITED, true, "data: a\r\rdata: b\r\r"));
        assertEquals(Completeness.TRUNCATED, atEnd(BodyFraming.CLOSE_DELIMITED, true, "data: a\r\rdata: b\r"));
    }

    @Test
    void shouldIgnoreFurtherBlankLinesWhenAnEventHasEnded() {
        assertEquals(Completeness.UNLESS_TERMINATED, atEnd(BodyFraming.CLOSE_DELIMITED, true, "\ndata: a\n\n\n"));
    }
}
