package org.rattanplank.gateway.caller;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events at event boundaries and tracks the identifier of the last complete event.
 *
 * <p>Invariant: all bytes are returned in order; bytes returned before the end of the stream always end with a complete
 * event. Confined to the event loop.
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final String COMMENT_PREFIX = ":";

    /** More than any event of an engine; what has no end within it is no event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteBuf pending = Unpooled.buffer(256);
    private String lastEventId;
    private int eventCount;

    /**
     * Creates a splitter.
     *
     * @param lastEventId the identifier of the last event that the caller has received, or empty
     */
    public EventSplitter(String lastEventId) {
        this.lastEventId = lastEventId;
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
        pending.writeBytes(bytes);
        int end = endOfLastEvent();
        if (end < 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf complete = pending.readBytes(end - pending.readerIndex());
        pending.discardReadBytes();
        recordEvents(complete);
        return complete;
    }

    /**
     * Removes and returns the bytes after the last complete event.
     *
     * @return the bytes
     */
    public ByteBuf takeRemainder() {
        return pending.readBytes(pending.readableBytes());
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
    }

    private int endOfLastEvent() {
        int last = -1;
        boolean lineEmpty = true;
        for (int i = pending.readerIndex(); i < pending.writerIndex(); i++) {
            byte current = pending.getByte(i);
            if (current == '\n') {
                if (lineEmpty && i > pending.readerIndex()) {
                    last = i + 1;
                }
                lineEmpty = true;
            } else if (current != '\r') {
                lineEmpty = false;
            }
        }
        return last;
    }

    private void recordEvents(ByteBuf complete) {
        boolean inEvent = false;
        String text = complete.toString(StandardCharsets.UTF_8);
        // The limit -1 keeps the trailing empty line, which ends the last event.
        for (String line : text.split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                lastEventId = line.substring(ID_FIELD.length()).trim();
            }
            if (!line.isEmpty() && !line.equals("\r")) {
                inEvent |= !line.startsWith(COMMENT_PREFIX);
            } else if (inEvent) {
                eventCount++;
                inEvent = false;
            }
        }
    }
}
