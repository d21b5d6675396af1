package org.rattanplank.core.response;

import java.util.Objects;

/**
 * Decides whether a response is complete where its body has ended.
 *
 * <p>Invariants: a delimited body is complete whatever its bytes are; an event stream that ended with its connection is
 * truncated unless its last byte is the end of a blank line, as its callers discard an event without one. Confined to its
 * owner's thread.
 */
public final class ResponseBody {
    private final BodyFraming framing;
    private final boolean eventStream;
    private boolean insideEvent;
    private boolean lineEmpty = true;
    private boolean lineFeedSeen;
    private int trailingReturns;

    private ResponseBody(BodyFraming framing, boolean eventStream) {
        this.framing = Objects.requireNonNull(framing, "framing");
        this.eventStream = eventStream;
    }

    /**
     * Creates the body of a response whose head has been read.
     *
     * @param framing what marks its end
     * @param eventStream whether it is a stream of server-sent events
     * @return a body without bytes
     */
    public static ResponseBody of(BodyFraming framing, boolean eventStream) {
        return new ResponseBody(framing, eventStream);
    }

    /**
     * Returns whether the bytes of the body matter for its completeness.
     *
     * @return whether each of them must be appended
     */
    public boolean dependsOnBytes() {
        return eventStream && framing == BodyFraming.CLOSE_DELIMITED;
    }

    /**
     * Appends a byte.
     *
     * @param next the next byte of the body
     */
    public void append(byte next) {
        if (next == '\r') {
            trailingReturns++;
            return;
        }
        trailingReturns = 0;
        if (next == '\n') {
            lineFeedSeen = true;
            insideEvent &= !lineEmpty;
            lineEmpty = true;
            return;
        }
        lineEmpty = false;
        insideEvent = true;
    }

    /**
     * Returns whether the response is complete if its body ends here without an error of its connection.
     *
     * @return whether it is complete
     */
    public Completeness atEnd() {
        if (framing == BodyFraming.DELIMITED) {
            return Completeness.COMPLETE;
        }
        boolean truncated = eventStream && insideEvent && !endsWithBlankLineOfReturns();
        return truncated ? Completeness.TRUNCATED : Completeness.UNLESS_TERMINATED;
    }

    /** Returns whether the last line is blank in a stream whose lines end with carriage returns alone. */
    private boolean endsWithBlankLineOfReturns() {
        return !lineFeedSeen && trailingReturns >= 2;
    }
}
