package org.rattanplank.gateway.http;

import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import org.rattanplank.core.response.StatusCode;

/**
 * Decodes responses, and tells whether a head has begun that isn't complete yet.
 *
 * <p>Netty accepts more than the syntax of HTTP/1.1 allows. Invariants: an invalid status, or a field name in a head or
 * in trailers that is no token, is a decoder failure, also in an informational response; the response to a HEAD request
 * has no body regardless of its headers. Confined to the event loop.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private final BooleanSupplier headRequest;
    private boolean headBegun;
    private boolean indentedField;

    /**
     * Creates a decoder for one connection.
     *
     * @param maxStatusLineBytes the maximum size of a status line
     * @param maxHeaderBytes the maximum size of all headers of a response
     * @param maxChunkBytes the maximum size of a part of a body that is passed on
     * @param headRequest returns whether the next response is to a HEAD request
     */
    public ResponseDecoder(int maxStatusLineBytes, int maxHeaderBytes, int maxChunkBytes, BooleanSupplier headRequest) {
        super(maxStatusLineBytes, maxHeaderBytes, maxChunkBytes);
        this.headRequest = Objects.requireNonNull(headRequest, "headRequest");
    }

    /**
     * Returns whether bytes were received that are no whole head or part of a body yet.
     *
     * @return whether the next bytes continue what has begun
     */
    public boolean isWithinHead() {
        return headBegun || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int begin = in.readerIndex();
        super.decode(context, in, out);
        // A call doesn't go on behind the end of a head, so that it has read nothing but lines of the head.
        indentedField |= headBegun && IndentedField.isWithin(in, begin, in.readerIndex());
        if (!out.isEmpty()) {
            if (indentedField && out.get(0) instanceof HttpObject head) {
                head.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("a field begins with white space")));
            }
            headBegun = false;
            indentedField = false;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headBegun = true;
        if (!StatusCode.isValid(initialLine[1])) {
            throw new IllegalArgumentException("the status is invalid: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    /** Netty ends a name at white space, and drops what stands between that and the colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("the name of a field contains white space");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest.getAsBoolean() && message instanceof HttpResponse || super.isContentAlwaysEmpty(message);
    }
}
