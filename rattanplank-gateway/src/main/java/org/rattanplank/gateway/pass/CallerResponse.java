package org.rattanplank.gateway.pass;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.rattanplank.gateway.caller.CallerConnection;
import org.rattanplank.gateway.caller.EventSplitter;

/**
 * Assembles the response to one caller from what one or more attempts return.
 *
 * <p>Invariants: a response that is not a stream is buffered until it is complete or exceeds a size limit, so that a
 * failed attempt can be replaced unseen; a stream is forwarded in whole events only, under the headers of the first
 * attempt that returned one. Confined to the event loop.
 */
public final class CallerResponse {
    /** Larger responses are forwarded as they arrive. */
    static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final CallerConnection connection;
    private boolean stream;
    private EventSplitter events = new EventSplitter("");
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
     */
    public CallerResponse(CallerConnection connection) {
        this.connection = connection;
    }

    /** Responds with status 400 to a request without a unique host name. */
    public void respondBadRequest() {
        connection.respond(HttpResponseStatus.BAD_REQUEST.code(), EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
    }

    void expectResponse(boolean isStream, String lastEventId) {
        stream = isStream;
        events = new EventSplitter(lastEventId);
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

    boolean isEventTooLarge() {
        return events.isTooLarge();
    }

    void complete() {
        if (isEventStream()) {
            forwardEvents(events.takeRemainder());
        }
        if (started) {
            connection.endResponse();
        } else {
            connection.respond(status, headers, buffered);
            buffered = Unpooled.EMPTY_BUFFER;
        }
    }

    /** Discards what an attempt returned and was not yet forwarded. */
    void discardPartial() {
        events.discardRemainder();
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
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

    private void buffer(ByteBuf bytes) {
        if (buffered == Unpooled.EMPTY_BUFFER) {
            buffered = ByteBufAllocator.DEFAULT.heapBuffer(bytes.readableBytes());
        }
        buffered.writeBytes(bytes);
        if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
            start();
            connection.sendChunk(buffered);
            buffered = Unpooled.EMPTY_BUFFER;
        }
    }

    private void start() {
        if (!started) {
            started = true;
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            connection.beginResponse(status, headers);
        }
    }
}
