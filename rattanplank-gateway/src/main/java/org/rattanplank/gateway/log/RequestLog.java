package org.rattanplank.gateway.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The lines of one request, held until its end is known.
 *
 * <p>Invariant: a request that went well in one attempt leaves one line; any other leaves all of them, at most
 * {@link #MAX_LINES}. Confined to the event loop.
 */
public final class RequestLog {
    private static final int MAX_LINES = 32;

    private final EventLog log;
    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>(4);

    /**
     * Begins a request's log.
     *
     * @param log where its lines go
     * @param requestId the request's identifier
     */
    public RequestLog(EventLog log, String requestId) {
        this.log = log;
        this.requestId = requestId;
    }

    /**
     * Holds a line.
     *
     * @param line the line
     */
    public void add(LogLine line) {
        if (lines.size() < MAX_LINES) {
            lines.add(line.with("requestId", requestId));
        }
    }

    /**
     * Writes the lines.
     *
     * @param last the line that tells the end
     * @param ordinary whether the last line says all that matters
     */
    public void end(LogLine last, boolean ordinary) {
        last.with("requestId", requestId);
        if (ordinary) {
            log.ordinary(last);
            return;
        }
        lines.forEach(log::important);
        log.important(last);
    }
}
