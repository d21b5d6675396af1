package org.rattanplank.gateway.log;

import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the log lines of one request until its outcome is known.
 *
 * <p>Invariant: a request that succeeded at its first attempt without a notable line writes only its last line; any
 * other request writes all its lines, at most {@link #MAX_LINES} and the last. Confined to the event loop.
 */
public final class RequestLog {
    private static final int MAX_LINES = 32;

    private final EventLog log;
    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>(4);
    private boolean notable;

    /**
     * Creates the log of a request.
     *
     * @param log the log that its lines are written to
     * @param requestId the request's identifier
     */
    public RequestLog(EventLog log, String requestId) {
        this.log = log;
        this.requestId = requestId;
    }

    /**
     * Buffers a line.
     *
     * @param line the line
     */
    public void add(LogLine line) {
        if (lines.size() < MAX_LINES) {
            lines.add(line.with("requestId", requestId));
        }
    }

    /**
     * Buffers a line that is written also if the request succeeds.
     *
     * @param line the line
     */
    public void addNotable(LogLine line) {
        notable = true;
        add(line);
    }

    /**
     * Writes the last line, and the buffered lines unless the request was ordinary.
     *
     * @param last the line that reports the outcome
     * @param ordinary whether the last line is sufficient
     */
    public void end(LogLine last, boolean ordinary) {
        last.with("requestId", requestId);
        if (ordinary && !notable) {
            log.writeOrdinary(last);
            return;
        }
        lines.forEach(log::writeImportant);
        log.writeImportant(last);
    }
}
