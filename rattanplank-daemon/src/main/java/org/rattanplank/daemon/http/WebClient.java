package org.rattanplank.daemon.http;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.vavr.control.Option;
import ratpack.exec.ExecController;

/**
 * Sends short HTTP requests to targets and the platform, each on a dedicated connection.
 *
 * <p>Invariants: each request completes with one result, at the latest at its timeout, and its connection is closed
 * then; a response counts only if it was received completely. Thread safe.
 */
public final class WebClient {
    private final EventLoopGroup loops;
    private final ExchangeClient client;
    private final int maxResponseBytes;
    private final ResponseMemory memory;
    private final LongConsumer sentBytes;
    private final LongConsumer receivedBytes;

    private WebClient(
            EventLoopGroup loops,
            ExchangeClient client,
            int maxResponseBytes,
            ResponseMemory memory,
            LongConsumer sentBytes,
            LongConsumer receivedBytes) {
        this.loops = loops;
        this.client = client;
        this.maxResponseBytes = maxResponseBytes;
        this.memory = memory;
        this.sentBytes = sentBytes;
        this.receivedBytes = receivedBytes;
    }

    /**
     * Creates a client.
     *
     * @param controller has the event loops that handle the connections
     * @param connectTimeoutMillis the timeout for establishing a connection
     * @param maxResponseBytes the maximum size of a response body
     * @param memory grants the memory for the bodies
     * @param sentBytes receives the number of body bytes of each request
     * @param receivedBytes receives the number of body bytes of each response
     * @return the client
     */
    public static WebClient of(
            ExecController controller,
            long connectTimeoutMillis,
            int maxResponseBytes,
            ResponseMemory memory,
            LongConsumer sentBytes,
            LongConsumer receivedBytes) {
        return new WebClient(
                controller.getEventLoopGroup(),
                ExchangeClient.of(connectTimeoutMillis),
                maxResponseBytes,
                memory,
                sentBytes,
                receivedBytes);
    }

    /**
     * Sends a request.
     *
     * @param request the request, with an {@code http} URI that states a port
     * @return the result, which never completes exceptionally
     */
    public CompletableFuture<WebResult> send(WebRequest request) {
        CompletableFuture<WebResult> result = new CompletableFuture<>();
        sentBytes.accept(request.body().length);
        EventLoop loop = loops.next();
        WebExchange exchange = new WebExchange(maxResponseBytes, memory.newBuffer(), whole -> {
            if (whole instanceof WebResult.Response response) {
                receivedBytes.accept(response.body().length);
            }
            result.complete(whole);
        });
        loop.execute(() -> exchange.start(loop, client, exchangeRequestOf(request), request.timeoutMillis()));
        return result;
    }

    private static ExchangeRequest exchangeRequestOf(WebRequest request) {
        URI uri = request.uri();
        String path =
                Option.of(uri.getRawPath()).filter(each -> !each.isEmpty()).getOrElse("/");
        String query = Option.of(uri.getRawQuery()).map(each -> "?" + each).getOrElse("");
        Map<String, String> headers = new HashMap<>(request.headers());
        if (request.body().length > 0
                && headers.keySet().stream().noneMatch(HttpHeaderNames.CONTENT_TYPE::contentEqualsIgnoreCase)) {
            headers.put(HttpHeaderNames.CONTENT_TYPE.toString(), HttpHeaderValues.APPLICATION_JSON.toString());
        }
        return new ExchangeRequest(
                uri.getHost(), uri.getPort(), request.method(), path + query, headers, request.body());
    }
}
