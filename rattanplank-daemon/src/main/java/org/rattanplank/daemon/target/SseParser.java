package org.rattanplank.daemon.target;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Option;
import org.rattanplank.daemon.http.ResponseBuffer;

/**
 * Parses a stream of bytes into server-sent events.
 *
 * <p>Invariant: an event is returned only after its terminating empty line was received. Not thread safe.
 */
final class SseParser {
    private final ResponseBuffer buffer;
    private final int maxEventBytes;
    private boolean lineEmpty = true;
    private Option<String> overflow = Option.none();

    SseParser(int maxEventBytes, ResponseBuffer buffer) {
        this.buffer = buffer;
        this.maxEventBytes = maxEventBytes;
    }

    /** Returns why the rest of the stream could not be parsed. */
    Option<String> overflow() {
        return overflow;
    }

    /** Discards an incomplete event. */
    void close() {
        buffer.clear();
    }

    List<SseEvent> feed(byte[] bytes) {
        List<SseEvent> events = new ArrayList<>();
        for (byte each : bytes) {
            if (each == '\r') {
                continue;
            }
            if (!buffer.tryAppend(each)) {
                overflow = Option.some("no memory is left for a stream event");
                return events;
            }
            if (each != '\n') {
                lineEmpty = false;
                continue;
            }
            if (lineEmpty) {
                eventOf(buffer.take()).forEach(events::add);
            }
            lineEmpty = true;
        }
        if (buffer.size() > maxEventBytes) {
            overflow = Option.some("a stream event exceeds the size limit");
        }
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
