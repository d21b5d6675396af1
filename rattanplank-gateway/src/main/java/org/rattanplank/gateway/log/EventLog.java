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
 * Writes log lines as JSON, one object a line.
 *
 * <p>Invariants: handing in a line never waits; a text of more than {@link #TEXT_CHARS} characters is cut; at most
 * {@link #LINES} lines are held, of which {@link #RESERVE} are kept
 * for lines that must not be lost to ordinary ones; lines that find no room are counted, and the count is written as
 * soon as there is room. Thread safe.
 */
public final class EventLog implements AutoCloseable {
    /** Some 300 bytes a line make 1.2 MB. */
    static final int LINES = 4_000;

    /** Failures, changes of belief and the process's own life. */
    static final int RESERVE = 1_000;

    /** The homes of some ten routes; a longer text is cut and its length told. */
    static final int TEXT_CHARS = 400;

    /** Lines are written together; a line waits so long at most while the reader reads. */
    private static final long PAUSE_MILLIS = 200;

    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<LogLine> queue = new ArrayBlockingQueue<>(LINES);
    private final AtomicLong dropped = new AtomicLong();
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
     * @param host the name of the host that writes it
     * @param out where to; a reader that stops reading stops only the log's own thread
     * @param nowMillis the clock of the lines
     * @return the log
     */
    public static EventLog start(String host, OutputStream out, LongSupplier nowMillis) {
        EventLog log = new EventLog(host, out, nowMillis);
        log.writer.start();
        return log;
    }

    /**
     * Writes a line unless the log is nearly full.
     *
     * @param line the line
     */
    public void ordinary(LogLine line) {
        if (queue.remainingCapacity() <= RESERVE) {
            dropped.incrementAndGet();
            return;
        }
        offer(line);
    }

    /**
     * Writes a line unless the log is full.
     *
     * @param line the line
     */
    public void important(LogLine line) {
        offer(line);
    }

    /**
     * Lines that found no room so far.
     *
     * @return how many
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes what is held, if the reader still reads, and ends. */
    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void offer(LogLine line) {
        line.with("timeMillis", nowMillis.getAsLong());
        if (!queue.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        long reported = 0;
        List<LogLine> batch = new ArrayList<>();
        try {
            while (!closed || !queue.isEmpty()) {
                batch.clear();
                awaitLine(batch);
                queue.drainTo(batch);
                long lost = dropped.get();
                if (lost > reported) {
                    batch.add(LogLine.of(LogEvent.LINES_DROPPED)
                            .with("lines", lost - reported)
                            .with("timeMillis", nowMillis.getAsLong()));
                    reported = lost;
                }
                write(batch);
                pause();
            }
        } catch (IOException e) {
            Logger.error(e, "log: standard output can't be written; no further lines");
        }
    }

    private void awaitLine(List<LogLine> batch) {
        if (closed) {
            return;
        }
        try {
            batch.add(queue.take());
        } catch (InterruptedException e) {
            // Closing wakes the writer, which then writes the rest.
            Thread.interrupted();
        }
    }

    private void pause() {
        if (closed) {
            return;
        }
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            // Closing wakes the writer, which then writes the rest.
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
            // An estimate of what can't be had at all.
            json.writeNull();
        } else if (value instanceof Double number) {
            json.writeNumber(Math.round(number * 10) / 10.0);
        } else if (value instanceof Boolean truth) {
            json.writeBoolean(truth);
        } else {
            json.writeString(bounded(String.valueOf(value)));
        }
    }

    private static String bounded(String text) {
        return text.length() <= TEXT_CHARS
                ? text
                : text.substring(0, TEXT_CHARS) + "... (" + text.length() + " characters)";
    }
}
