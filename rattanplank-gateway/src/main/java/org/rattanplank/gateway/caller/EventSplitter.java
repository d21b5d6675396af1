package org.rattanplank.gateway.caller;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events at event boundaries and tracks the identifier of the last complete event.
 *
 * <p>Invariant: all bytes are returned in order; bytes returned before the end of the stream always end with a complete
 * event; each byte is examined once, however small the parts are in which it arrives. Confined to the event loop.
 */
public final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte COMMENT_PREFIX = ':';

    /** More than any event of an engine; what has no end within it is no event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteBuf pending;
    private String lastEventId;
    private int eventCount;

    /** What is known of the incomplete event and of its last line, which begins at an index of the pending bytes. */
    private String incompleteEventId;

    private boolean inEvent;
    private int lineStart;
    private boolean lineBlank = true;

    /**
     * Creates a splitter.
     *
     * @param lastEventId the identifier of the last event that the caller has received, or empty
     */
    public EventSplitter(String lastEventId) {
        this(lastEventId, Unpooled.buffer(256));
    }

    EventSplitter(String lastEventId, ByteBuf pending) {
        this.lastEventId = lastEventId;
        incompleteEventId = lastEventId;
        this.pending = pending;
    }

    /**
     * Returns the identifier of the last complete event.
     *
     * @return the identifier, or the initial one if no event had an identifier
     */
    public String lastEventId() {
        return lastEventId;
    }

    /**
     * Returns the number of complete events. Comments, which streams send to keep connections open, do not count.
     *
     * @return the number of events
     */
    public int eventCount() {
        return eventCount;
    }

    /**
     * Appends bytes of the stream and returns the events that they complete.
     *
     * @param bytes the next bytes of the stream
     * @return the events that are complete now, or an empty buffer
     */
    public ByteBuf append(ByteBuf bytes) {
        int unexamined = pending.writerIndex();
        pending.writeBytes(bytes);
        int end = endOfLastEvent(unexamined);
        if (end < 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf complete = pending.readBytes(end - pending.readerIndex());
        pending.discardReadBytes();
        lineStart -= end;
        return complete;
    }

    /**
     * Removes and returns the bytes after the last complete event.
     *
     * @return the bytes
     */
    public ByteBuf takeRemainder() {
        ByteBuf remainder = pending.readBytes(pending.readableBytes());
        discardRemainder();
        return remainder;
    }

    /**
     * Returns whether the incomplete event is larger than any event.
     *
     * @return whether the stream should be abandoned
     */
    public boolean isTooLarge() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Discards the bytes of an incomplete event. */
    public void discardRemainder() {
        pending.clear();
        incompleteEventId = lastEventId;
        inEvent = false;
        lineStart = 0;
        lineBlank = true;
    }

    /** Examines the bytes from an index on, and returns the end of the last event that they complete, or -1. */
    private int endOfLastEvent(int from) {
        int last = -1;
        for (int i = from; i < pending.writerIndex(); i++) {
            byte current = pending.getByte(i);
            if (current != '\n') {
                lineBlank &= current == '\r';
                continue;
            }
            if (!lineBlank) {
                recordLine(i);
            } else if (i > pending.readerIndex()) {
                recordEventEnd();
                last = i + 1;
            }
            lineStart = i + 1;
            lineBlank = true;
        }
        return last;
    }

    private void recordLine(int end) {
        inEvent |= pending.getByte(lineStart) != COMMENT_PREFIX;
        if (end - lineStart < ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (pending.getByte(lineStart + i) != ID_FIELD[i]) {
                return;
            }
        }
        int idStart = lineStart + ID_FIELD.length;
        incompleteEventId =
                pending.toString(idStart, end - idStart, StandardCharsets.UTF_8).trim();
    }

    private void recordEventEnd() {
        lastEventId = incompleteEventId;
        if (inEvent) {
            eventCount++;
            inEvent = false;
        }
    }
}
