package org.rattanplank.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a target, which carries one request at a time.
 *
 * <p>Invariants: an answer counts only if it echoes the identifier of the request that waits for it; a connection is
 * used again only if the request was written whole, its answer was whole, and nothing came beyond it. Confined to the
 * event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    /** An answer without Keep-Alive says nothing of its idle time; one as short as this is seldom passed. */
    private static final long DEFAULT_IDLE_MILLIS = 800;

    /** The part of the announced idle time that is used; the rest is for the way there and late timers. */
    private static final double IDLE_PART = 0.6;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int SUCCESS_FAMILY = 2;
    private static final int CONTINUE_FAMILY = 1;
    private static final int STATUS_FAMILY = 100;

    private final String requestIdHeader;
    private final TargetConnections owner;
    private Channel channel;
    private TargetAttempt attempt;
    private boolean written;
    private boolean skipping;
    private boolean answering;
    private boolean spoilt;
    private long idleSinceMillis;
    private long idleMillis = DEFAULT_IDLE_MILLIS;

    TargetConnection(String requestIdHeader, TargetConnections owner) {
        this.requestIdHeader = requestIdHeader;
        this.owner = owner;
    }

    void opened(Channel opened) {
        channel = opened;
    }

    Channel channel() {
        return channel;
    }

    boolean isUsable(double partOfIdle, long nowMillis) {
        return channel.isActive() && !spoilt && nowMillis - idleSinceMillis < idleMillis * partOfIdle;
    }

    boolean isExpired(long nowMillis) {
        return nowMillis - idleSinceMillis >= idleMillis;
    }

    boolean isHeadRequest() {
        return attempt != null && attempt.isHeadRequest();
    }

    void send(TargetAttempt next, FullHttpRequest message) {
        attempt = next;
        written = false;
        skipping = false;
        answering = false;
        ChannelFuture write = channel.writeAndFlush(message);
        write.addListener(done -> {
            if (done.isSuccess()) {
                written = true;
            } else {
                fail("the request could not be written whole: " + done.cause());
            }
        });
    }

    /** Ends it, and the request on it as one that may have run. */
    void abandon(String reason) {
        fail(reason);
        drop();
    }

    void drop() {
        attempt = null;
        spoilt = true;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (attempt == null) {
                // Bytes that nobody asked for: whatever follows them on this connection might be taken for the answer
                // to the next request.
                drop();
            } else if (message instanceof HttpObject part) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        abandon("the connection broke: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection ended before the answer did");
        spoilt = true;
        owner.closed(this);
    }

    private void read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            abandon("the answer is not sound HTTP");
            return;
        }
        attempt.heard();
        if (part instanceof HttpResponse response) {
            readHead(response);
        }
        if (part instanceof HttpContent content && attempt != null) {
            readContent(content.content());
        }
        if (part instanceof LastHttpContent && attempt != null) {
            readEnd();
        }
    }

    private void readHead(HttpResponse response) {
        int status = response.status().code();
        HttpHeaders headers = response.headers();
        skipping = status / STATUS_FAMILY == CONTINUE_FAMILY || !belongs(status, headers.get(requestIdHeader));
        if (skipping) {
            // A second answer to an earlier request may come late, where the next one is expected. Ours may still
            // follow
            // it, but the connection is not to be trusted after that.
            spoilt |= status / STATUS_FAMILY != CONTINUE_FAMILY;
            return;
        }
        answering = true;
        noteKeepAlive(response);
        headers.remove(HttpHeaderNames.CONNECTION);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.remove("Keep-Alive");
        attempt.head(status, headers);
    }

    private boolean belongs(int status, String echoed) {
        if (echoed == null) {
            return status / STATUS_FAMILY != SUCCESS_FAMILY;
        }
        return echoed.equals(attempt.requestId());
    }

    private void noteKeepAlive(HttpResponse response) {
        if (!HttpUtil.isKeepAlive(response)
                || !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) {
            spoilt = true;
        }
        String keepAlive = response.headers().get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at < 0) {
            return;
        }
        long seconds = 0;
        for (int i = at + "timeout=".length(); i < keepAlive.length() && Character.isDigit(keepAlive.charAt(i)); i++) {
            seconds = seconds * 10 + Character.digit(keepAlive.charAt(i), 10);
        }
        idleMillis = (long) (seconds * MILLIS_PER_SECOND * IDLE_PART);
    }

    private void readContent(ByteBuf bytes) {
        if (!skipping && bytes.isReadable()) {
            attempt.content(bytes);
        }
    }

    private void readEnd() {
        if (skipping || !answering) {
            skipping = false;
            return;
        }
        TargetAttempt done = attempt;
        attempt = null;
        idleSinceMillis = owner.nowMillis();
        if (spoilt || !written) {
            drop();
        } else {
            owner.release(this);
        }
        done.ended();
    }

    private void fail(String reason) {
        TargetAttempt failed = attempt;
        attempt = null;
        spoilt = true;
        if (failed != null) {
            failed.failed(AttemptFailure.UNKNOWN, reason);
        }
    }
}
