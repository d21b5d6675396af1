package org.rattanplank.gateway.target;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a target, and tells whether a head has begun that isn't complete yet.
 *
 * <p>Invariant: the response to a HEAD request has no body regardless of its headers. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final TargetConnection connection;
    private boolean headBegun;

    ResponseDecoder(TargetConnection connection) {
        super(MAX_LINE_BYTES, MAX_LINE_BYTES, MAX_CHUNK_BYTES);
        this.connection = connection;
    }

    /** Returns whether bytes were received that are no whole head or part of a body yet. */
    boolean isWithinHead() {
        return headBegun || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decode(context, in, out);
        headBegun &= out.isEmpty();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headBegun = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.isHeadRequest() && message instanceof HttpResponse || super.isContentAlwaysEmpty(message);
    }
}
