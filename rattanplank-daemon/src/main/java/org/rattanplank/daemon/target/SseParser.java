package org.rattanplank.daemon.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Option;

/**
 * Parses a stream of bytes into server-sent events.
 *
 * <p>Invariant: an event is returned only after its terminating empty line was received. Not thread safe.
 */
final class SseParser {
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final int maxEventBytes;
    private boolean lineEmpty = true;
    private boolean tooLarge;

    SseParser(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    boolean isTooLarge() {
        return tooLarge;
    }

    List<SseEvent> feed(byte[] bytes) {
        List<SseEvent> events = new ArrayList<>();
        for (byte each : bytes) {
            if (each == '\r') {
                continue;
            }
            buffer.write(each);
            if (each != '\n') {
                lineEmpty = false;
                continue;
            }
            if (lineEmpty) {
                eventOf(buffer.toByteArray()).forEach(events::add);
                buffer.reset();
            }
            lineEmpty = true;
        }
        tooLarge = buffer.size() > maxEventBytes;
        return events;
    }

    private static Option<SseEvent> eventOf(byte[] raw) {
        long number = SseEvent.NO_NUMBER;
        String data = "";
        for (String line : new String(raw, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("id:")) {
                number = numberOf(line.substring("id:".length()).strip());
            } else if (line.startsWith("data:")) {
                data = line.substring("data:".length()).strip();
            }
        }
        boolean comment = data.isEmpty() && number == SseEvent.NO_NUMBER;
        return comment ? Option.none() : Option.some(new SseEvent(number, SseEvent.DONE.equals(data), raw));
    }

    private static long numberOf(String text) {
        return io.vavr.control.Try.of(() -> Long.parseLong(text)).getOrElse(SseEvent.NO_NUMBER);
    }
}
