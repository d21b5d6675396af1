package org.rattanplank.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.tinylog.Logger;

/**
 * Writes log lines as JSON, one object per line.
 *
 * <p>Invariants: writing a line never blocks; a text of more than {@link #MAX_TEXT_CHARS} characters is truncated; at
 * most {@link #CAPACITY_LINES} lines are queued, of which {@link #RESERVED_LINES} are reserved for important lines;
 * lines that do not fit into the queue are dropped and counted, and the count is logged with the next batch. Thread
 * safe.
 */
public final class EventLog implements AutoCloseable {
    /** The capacity of the queue; at about 300 bytes per line it takes 1.2 MB. */
    static final int CAPACITY_LINES = 4_000;

    /** The capacity reserved for failures, changes of the cluster state and the process's own lifecycle. */
    static final int RESERVED_LINES = 1_000;

    /**
     * The length of a text with the home regions of about ten routes; a longer text is truncated and its length
     * appended.
     */
    static final int MAX_TEXT_CHARS = 400;

    /** Lines are written in batches; a line is delayed by at most this long while the output does not block. */
    private static final long FLUSH_INTERVAL_MILLIS = 200;

    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<LogLine> queue = new ArrayBlockingQueue<>(CAPACITY_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final String host;
    private final OutputStream out;
    private final LongSupplier nowMillis;
    private final Thread writer;
    private volatile boolean closed;

    private EventLog(String host, OutputStream out, LongSupplier nowMillis) {
        this.host = host;
        this.out = out;
        this.nowMillis = nowMillis;
        writer = new Thread(this::run, "log-writer");
        writer.setDaemon(true);
    }

    /**
     * Starts a log.
     *
     * @param host the name of the host that writes the log
     * @param out the output; if it blocks, only the log's own thread is blocked
     * @param nowMillis the clock for the time of each line
     * @return the log
     */
    public static EventLog start(String host, OutputStream out, LongSupplier nowMillis) {
        EventLog log = new EventLog(host, out, nowMillis);
        log.writer.start();
        return log;
    }

    /**
     * Writes a line, or drops it if only the reserved capacity is left.
     *
     * @param line the line
     */
    public void writeOrdinary(LogLine line) {
        if (queue.remainingCapacity() <= RESERVED_LINES) {
            droppedLines.incrementAndGet();
            return;
        }
        offer(line);
    }

    /**
     * Writes a line, or drops it if the queue is full.
     *
     * @param line the line
     */
    public void writeImportant(LogLine line) {
        offer(line);
    }

    /**
     * Returns the number of lines dropped so far.
     *
     * @return the number of lines
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /** Writes the queued lines, unless the output blocks, and stops the log. */
    @Override
    public void close() {
        close(FLUSH_INTERVAL_MILLIS);
    }

    /**
     * Writes the queued lines, and stops the log.
     *
     * @param maxWaitMillis how long to wait for an output that blocks
     */
    public void close(long maxWaitMillis) {
        closed = true;
        writer.interrupt();
        try {
            writer.join(Math.max(1, maxWaitMillis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void offer(LogLine line) {
        line.with("timeMillis", nowMillis.getAsLong());
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    private void run() {
        long reportedDrops = 0;
        List<LogLine> batch = new ArrayList<>();
        try {
            while (!closed || !queue.isEmpty()) {
                batch.clear();
                awaitLine(batch);
                queue.drainTo(batch);
                long totalDrops = droppedLines.get();
                if (totalDrops > reportedDrops) {
                    batch.add(LogLine.of(LogEvent.LINES_DROPPED)
                            .with("lines", totalDrops - reportedDrops)
                            .with("timeMillis", nowMillis.getAsLong()));
                    reportedDrops = totalDrops;
                }
                write(batch);
                awaitNextFlush();
            }
        } catch (IOException e) {
            Logger.error(e, "writing the log to standard output failed; no further lines are logged");
        }
    }

    private void awaitLine(List<LogLine> batch) {
        if (closed) {
            return;
        }
        try {
            batch.add(queue.take());
        } catch (InterruptedException e) {
            // close() interrupts the writer, which then writes the remaining lines.
            Thread.interrupted();
        }
    }

    private void awaitNextFlush() {
        if (closed) {
            return;
        }
        try {
            Thread.sleep(FLUSH_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            // close() interrupts the writer, which then writes the remaining lines.
            Thread.interrupted();
        }
    }

    private void write(List<LogLine> batch) throws IOException {
        if (batch.isEmpty()) {
            return;
        }
        StringWriter text = new StringWriter();
        for (LogLine line : batch) {
            try (JsonGenerator json = JSON.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("event", line.event().label());
                json.writeStringField("host", host);
                for (Map.Entry<String, Object> field : line.fields().entrySet()) {
                    json.writeFieldName(field.getKey());
                    write(field.getValue(), json);
                }
                json.writeEndObject();
            }
            text.write('\n');
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void write(Object value, JsonGenerator json) throws IOException {
        if (value instanceof Long number) {
            json.writeNumber(number);
        } else if (value instanceof Integer number) {
            json.writeNumber(number);
        } else if (value instanceof Double number && number.isInfinite()) {
            // The estimate of something that is not available at all; JSON has no infinity.
            json.writeNull();
        } else if (value instanceof Double number) {
            json.writeNumber(Math.round(number * 10) / 10.0);
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else {
            json.writeString(truncated(String.valueOf(value)));
        }
    }

    private static String truncated(String text) {
        return text.length() <= MAX_TEXT_CHARS
                ? text
                : text.substring(0, MAX_TEXT_CHARS) + "... (" + text.length() + " characters)";
    }
}
