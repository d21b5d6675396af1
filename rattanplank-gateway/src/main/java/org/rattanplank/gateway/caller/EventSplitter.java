package org.rattanplank.gateway.caller;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.MemoryHolder;

/**
 * Splits a stream of server-sent events at event boundaries and tracks the identifier of the last complete event.
 *
 * <p>Invariant: all bytes are returned in order; bytes returned before the end of the stream always end with a complete
 * event; each byte is examined once, however small the parts are in which it arrives; what it keeps between two parts
 * beyond {@link #SMALL_BYTES} is granted by its memory. Confined to the event loop.
 */
public final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte COMMENT_PREFIX = ':';

    /** More than any event of an engine; what has no end within it is no event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** The capacity that needs no grant, as most events are smaller. */
    private static final int SMALL_BYTES = 1 << 10;

    /** A buffer of which less than this part is used is replaced by a smaller one. */
    private static final int MIN_USED_PART = 4;

    private final ByteBuf pending;
    private final MemoryHolder memory;
    private String lastEventId;
    private int eventCount;

    /** What is known of the incomplete event and of its last line, which begins at an index of the pending bytes. */
    private String incompleteEventId;

    private Option<String> overflow = Option.none();
    private boolean inEvent;
    private int lineStart;
    private boolean lineBlank = true;

    /**
     * Creates a splitter.
     *
     * @param lastEventId the identifier of the last event that the caller has received, or empty
     * @param memory grants the memory for an incomplete event
     */
    public EventSplitter(String lastEventId, MemoryHolder memory) {
        this(lastEventId, memory, Unpooled.buffer(256));
    }

    EventSplitter(String lastEventId, MemoryHolder memory, ByteBuf pending) {
        this.lastEventId = lastEventId;
        this.memory = memory;
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
        ByteBuf complete = Unpooled.EMPTY_BUFFER;
        if (end >= 0) {
            complete = pending.readBytes(end - pending.readerIndex());
            pending.discardReadBytes();
            lineStart -= end;
        }
        keepRemainder();
        return complete;
    }

    /** Keeps the bytes of the incomplete event, or discards them if they are too many. */
    private void keepRemainder() {
        int bytes = pending.readableBytes();
        if (pending.capacity() > SMALL_BYTES && bytes * MIN_USED_PART < pending.capacity()) {
            pending.capacity(Math.max(SMALL_BYTES, bytes));
        }
        if (bytes > MAX_EVENT_BYTES) {
            overflow = Option.some("the target sends an event without end");
        } else if (!memory.tryHold(pending.capacity() > SMALL_BYTES ? pending.capacity() : 0)) {
            overflow = Option.some("no memory is left for an event of the target");
        }
        if (overflow.isDefined()) {
            clear();
        }
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
     * Returns why the incomplete event could not be kept: the rest of it is missing until it is discarded.
     *
     * @return the reason, or none
     */
    public Option<String> overflow() {
        return overflow;
    }

    /** Discards the bytes of an incomplete event. */
    public void discardRemainder() {
        clear();
        overflow = Option.none();
    }

    private void clear() {
        pending.clear();
        if (pending.capacity() > SMALL_BYTES) {
            pending.capacity(SMALL_BYTES);
        }
        memory.release();
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
