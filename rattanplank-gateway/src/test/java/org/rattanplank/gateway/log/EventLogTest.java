package org.rattanplank.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class EventLogTest {
    private static final int MANY = 10_000;

    /** Lets nothing through until it is opened. */
    private static final class StuckStream extends OutputStream {
        private final CountDownLatch opened = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int each) throws IOException {
            write(new byte[] {(byte) each}, 0, 1);
        }

        @Override
        public synchronized void write(byte[] bytes, int from, int length) throws IOException {
            try {
                opened.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
            written.write(bytes, from, length);
        }

        private synchronized String text() {
            return written.toString(StandardCharsets.UTF_8);
        }
    }

    /**
     * Symptom: each version of a configuration of 1,400 routes makes a line of some 50 KB at each host. Sequence: the line
     * names the homes of all routes. Cause: the number of lines was bounded, and not their length.
     */
    @Test
    void shouldCutALongTextWhenALineHoldsOne() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (EventLog log = EventLog.start("h1", out, () -> 5)) {
            log.important(LogLine.of(LogEvent.CONFIGURED).with("homes", "r=[suva], ".repeat(MANY)));
        }

        String line = out.toString(StandardCharsets.UTF_8);
        assertTrue(line.length() < 2 * EventLog.TEXT_CHARS, () -> "characters: " + line.length());
        assertTrue(line.contains("... (100000 characters)"), line);
    }

    /**
     * Symptom: requests stop when the reader of the log does. Sequence: standard output is read no longer; its buffer
     * fills; a request writes a line. Cause: whoever writes a line waits for the reader.
     */
    @Test
    void shouldNeverWaitAndCountWhatFindsNoRoomWhenTheReaderStops() {
        StuckStream out = new StuckStream();
        EventLog log = EventLog.start("h1", out, () -> 5);

        for (int i = 0; i < MANY; i++) {
            log.ordinary(LogLine.of(LogEvent.ENDED).with("number", i));
        }

        assertTrue(log.dropped() >= MANY - 2L * EventLog.LINES, () -> "dropped " + log.dropped());
    }

    @Test
    void shouldKeepRoomForFailuresWhenOrdinaryLinesFillTheQueue() {
        EventLog log = EventLog.start("h1", new StuckStream(), () -> 5);
        for (int i = 0; i < MANY; i++) {
            log.ordinary(LogLine.of(LogEvent.ENDED).with("number", i));
        }
        long before = log.dropped();

        for (int i = 0; i < EventLog.RESERVE / 2; i++) {
            log.important(LogLine.of(LogEvent.ATTEMPT_FAILED));
        }

        assertEquals(before, log.dropped());
    }

    @Test
    void shouldTellHowManyLinesWereLostWhenTheReaderReadsAgain() {
        StuckStream out = new StuckStream();
        EventLog log = EventLog.start("h1", out, () -> 5);
        for (int i = 0; i < MANY; i++) {
            log.ordinary(LogLine.of(LogEvent.ENDED).with("number", i));
        }
        out.opened.countDown();
        while (!out.text().contains("lines_dropped")) {
            Thread.onSpinWait();
        }

        assertTrue(out.text().contains("\"lines\":"), out::text);
    }

    @Test
    void shouldWriteOneObjectALineWhenFieldsHoldQuotesAndInfinity() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = EventLog.start("h1", out, () -> 5);
        log.important(LogLine.of(LogEvent.ENDED)
                .with("reason", "a \"quoted\"\nreason")
                .with("localMillis", Double.POSITIVE_INFINITY)
                .with("tookMillis", 12L));
        log.close();

        assertEquals(
                "{\"event\":\"ended\",\"host\":\"h1\",\"reason\":\"a \\\"quoted\\\"\\nreason\",\"localMillis\":null,"
                        + "\"tookMillis\":12,\"timeMillis\":5}\n",
                out.toString(StandardCharsets.UTF_8));
    }
}
