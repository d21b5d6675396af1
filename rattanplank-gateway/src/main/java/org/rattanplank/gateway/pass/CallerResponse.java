package org.rattanplank.gateway.pass;

import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.MemoryHolder;
import org.rattanplank.gateway.caller.CallerConnection;
import org.rattanplank.gateway.caller.EventSplitter;

/**
 * Assembles the response to one caller from what one or more attempts return.
 *
 * <p>Invariants: a response that is not a stream is buffered until it is complete, exceeds a size limit or no memory is
 * left for it, so that a failed attempt can be replaced unseen; a stream is forwarded in whole events only, under the
 * headers of the first attempt that returned one. Confined to the event loop.
 */
public final class CallerResponse {
    /** Larger responses are forwarded as they arrive. */
    static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final CallerConnection connection;
    private final MemoryHolder eventMemory;
    private final MemoryHolder bufferMemory;
    private boolean stream;
    private boolean wholeRequired;
    private Option<String> bufferOverflow = Option.none();
    private EventSplitter events;
    private int status;
    private HttpHeaders headers;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private boolean started;
    private long firstChunkAtMillis;
    private long lastChunkAtMillis;
    private long longestGapMillis;

    /**
     * Creates an empty response.
     *
     * @param connection the caller's connection
     * @param newHolder creates holders of memory for what is incomplete
     */
    public CallerResponse(CallerConnection connection, Supplier<MemoryHolder> newHolder) {
        this.connection = connection;
        eventMemory = newHolder.get();
        bufferMemory = newHolder.get();
        events = new EventSplitter("", eventMemory);
    }

    /** Responds with status 400 to a request without a unique host name. */
    public void respondBadRequest() {
        connection.respond(HttpResponseStatus.BAD_REQUEST.code(), EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
    }

    void expectResponse(boolean isStream, String lastEventId) {
        stream = isStream;
        events = new EventSplitter(lastEventId, eventMemory);
    }

    /** Returns the time between the first and the last byte of the request. */
    long requestReadMillis() {
        return connection.receiveMillis();
    }

    boolean isStarted() {
        return started;
    }

    /**
     * Returns whether a further attempt can continue the response: nothing was sent yet, or it is a stream of whole
     * events.
     */
    boolean canContinue() {
        return !started || stream;
    }

    String lastEventId() {
        return events.lastEventId();
    }

    /** Returns the number of whole events forwarded to the caller so far. */
    int events() {
        return events.eventCount();
    }

    /** Returns the status sent to the caller, or zero if there is none yet. */
    int status() {
        return status;
    }

    /** Returns when the first chunk of a body arrived, or zero. */
    long firstChunkAtMillis() {
        return firstChunkAtMillis;
    }

    long longestGapMillis() {
        return longestGapMillis;
    }

    void head(int newStatus, HttpHeaders newHeaders) {
        if (started) {
            return;
        }
        status = newStatus;
        headers = newHeaders;
    }

    void content(ByteBuf bytes, long nowMillis) {
        if (firstChunkAtMillis == 0) {
            firstChunkAtMillis = nowMillis;
        } else {
            longestGapMillis = Math.max(longestGapMillis, nowMillis - lastChunkAtMillis);
        }
        lastChunkAtMillis = nowMillis;
        if (isEventStream()) {
            forwardEvents(events.append(bytes));
        } else if (started) {
            connection.sendChunk(bytes.retain());
        } else {
            buffer(bytes);
        }
    }

    /** Returns why the current attempt's response can't be continued. */
    Option<String> overflow() {
        return bufferOverflow.orElse(events.overflow());
    }

    /** Sends the response only when it is complete, so that a failure can replace it until then. */
    void requireWhole() {
        wholeRequired = true;
    }

    void complete() {
        if (isEventStream()) {
            forwardEvents(events.takeRemainder());
        }
        if (started) {
            connection.endResponse();
        } else {
            connection.respond(status, headers, takeBuffered());
        }
    }

    /** Discards what an attempt returned and was not yet forwarded. */
    void discardPartial() {
        bufferOverflow = Option.none();
        events.discardRemainder();
        takeBuffered().release();
    }

    void abort() {
        discardPartial();
        connection.abortResponse();
    }

    void respond(int newStatus, HttpHeaders newHeaders, ByteBuf body) {
        status = newStatus;
        discardPartial();
        connection.respond(newStatus, newHeaders, body);
    }

    private boolean isEventStream() {
        return stream && status == HttpResponseStatus.OK.code();
    }

    private void forwardEvents(ByteBuf wholeEvents) {
        if (!wholeEvents.isReadable()) {
            wholeEvents.release();
            return;
        }
        start();
        connection.sendChunk(wholeEvents);
    }

    /** Buffers bytes, or forwards what is there when they are too many for the limit or the memory that is left. */
    private void buffer(ByteBuf bytes) {
        int wantedBytes = buffered.readableBytes() + bytes.readableBytes();
        if (wantedBytes > buffered.capacity() && !tryGrow(wantedBytes)) {
            if (wholeRequired) {
                bufferOverflow = Option.some("the response is too large to be kept until it is complete");
                return;
            }
            start();
            connection.sendChunk(takeBuffered());
            connection.sendChunk(bytes.retain());
            return;
        }
        buffered.writeBytes(bytes);
    }

    private boolean tryGrow(int bytes) {
        if (bytes > MAX_BUFFERED_BYTES) {
            return false;
        }
        int capacity = UnpooledByteBufAllocator.DEFAULT.calculateNewCapacity(bytes, MAX_BUFFERED_BYTES);
        if (!bufferMemory.tryHold(capacity)) {
            return false;
        }
        buffered = Unpooled.buffer(capacity, capacity).writeBytes(buffered);
        return true;
    }

    private ByteBuf takeBuffered() {
        ByteBuf taken = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        bufferMemory.release();
        return taken;
    }

    private void start() {
        if (!started) {
            started = true;
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            connection.beginResponse(status, headers);
        }
    }
}
