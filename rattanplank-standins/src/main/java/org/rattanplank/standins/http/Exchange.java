package org.rattanplank.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Option;

/**
 * An HTTP call and the ways to respond to it, faulty ones included.
 *
 * <p>It doesn't check that a call gets exactly one response: an injected fault may send two or none. Not thread safe:
 * confined to the thread of its server.
 */
public final class Exchange {
    private static final String JSON = "application/json";

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder uri;
    private final io.netty.handler.codec.http.HttpHeaders headers;
    private final String body;
    private final boolean keepAlive;

    private Exchange(Channel channel, FullHttpRequest request) {
        this.channel = Objects.requireNonNull(channel, "channel");
        method = request.method().name();
        uri = new QueryStringDecoder(request.uri());
        headers = request.headers().copy();
        body = request.content().toString(StandardCharsets.UTF_8);
        keepAlive = HttpUtil.isKeepAlive(request);
    }

    static Exchange of(Channel channel, FullHttpRequest request) {
        return new Exchange(channel, request);
    }

    /**
     * Returns the method.
     *
     * @return the method in upper case
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        return uri.path();
    }

    /**
     * Returns the body.
     *
     * @return the body as text
     */
    public String body() {
        return body;
    }

    /**
     * Returns the body as JSON.
     *
     * @return the body, or an empty object if it isn't valid JSON
     */
    public JsonNode jsonBody() {
        return Json.readOrEmpty(body);
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the name
     * @return its first value, or none
     */
    public Option<String> query(String name) {
        return Option.of(uri.parameters().get(name)).map(values -> values.get(0));
    }

    /**
     * Returns a header.
     *
     * @param name the name
     * @return its first value, or none
     */
    public Option<String> header(String name) {
        return Option.of(headers.get(name));
    }

    /**
     * Responds with JSON.
     *
     * @param status the HTTP status
     * @param value the body
     */
    public void respond(int status, JsonNode value) {
        respond(status, Map.of(), value);
    }

    /**
     * Responds with JSON and additional headers.
     *
     * @param status the HTTP status
     * @param additionalHeaders additional headers
     * @param value the body
     */
    public void respond(int status, Map<String, String> additionalHeaders, JsonNode value) {
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        HttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        addHeaders(response, JSON, additionalHeaders);
        HttpUtil.setContentLength(response, bytes.length);
        HttpUtil.setKeepAlive(response, keepAlive);
        io.netty.channel.ChannelFuture written = channel.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Sends the headers and the first half of a response body and then resets the connection.
     *
     * @param status the HTTP status
     * @param additionalHeaders additional headers
     * @param value the body of which half is sent
     */
    public void respondTruncated(int status, Map<String, String> additionalHeaders, JsonNode value) {
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        addHeaders(response, JSON, additionalHeaders);
        HttpUtil.setContentLength(response, bytes.length);
        channel.write(response);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, 0, bytes.length / 2)))
                .addListener(sent -> reset());
    }

    /**
     * Starts a chunked response.
     *
     * @param contentType the content type
     * @param additionalHeaders additional headers
     */
    public void startStream(String contentType, Map<String, String> additionalHeaders) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        addHeaders(response, contentType, additionalHeaders);
        HttpUtil.setTransferEncodingChunked(response, true);
        channel.writeAndFlush(response);
    }

    /**
     * Starts a response with neither a length nor chunks, which ends with its connection.
     *
     * @param contentType the content type
     * @param additionalHeaders additional headers
     */
    public void startCloseDelimited(String contentType, Map<String, String> additionalHeaders) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        addHeaders(response, contentType, additionalHeaders);
        HttpUtil.setKeepAlive(response, false);
        channel.writeAndFlush(response);
    }

    /** Closes the connection in an orderly way after everything that was sent. */
    public void closeAfterWrites() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Resets the connection after everything that was sent. */
    public void resetAfterWrites() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> reset());
    }

    /**
     * Sends a chunk of a started response.
     *
     * @param text the chunk
     */
    public void sendChunk(String text) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    /**
     * Sends text as it is, without a head or framing of its own.
     *
     * @param text the text
     */
    public void sendUnframed(String text) {
        channel.pipeline()
                .context(HttpServerCodec.class)
                .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Completes a started response. */
    public void endStream() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Resets the connection, so that the client sees neither a response nor an orderly close. */
    public void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /**
     * Returns whether the client is still connected.
     *
     * @return whether the connection is open
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Returns what identifies the connection of the call.
     *
     * @return an identifier that no other connection has
     */
    public String connectionId() {
        return channel.id().asLongText();
    }

    /**
     * Registers a callback that runs on the server's thread once the connection is closed.
     *
     * @param callback the callback
     */
    public void onClose(Runnable callback) {
        channel.closeFuture().addListener(closed -> callback.run());
    }

    private static void addHeaders(HttpResponse response, String contentType, Map<String, String> additionalHeaders) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        additionalHeaders.forEach((name, value) -> response.headers().set(name, value));
    }
}
