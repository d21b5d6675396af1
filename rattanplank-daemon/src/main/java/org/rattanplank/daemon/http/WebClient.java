package org.rattanplank.daemon.http;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.vavr.control.Try;
import ratpack.exec.ExecController;
import ratpack.http.HttpMethod;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Sends short HTTP requests to targets and the platform with Ratpack's client, each on a dedicated connection.
 *
 * <p>Invariant: each request completes with one result, at the latest at its timeout. Thread safe.
 */
public final class WebClient implements AutoCloseable {
    private final ExecController controller;
    private final HttpClient client;
    private final LongConsumer sentBytes;
    private final LongConsumer receivedBytes;

    private WebClient(
            ExecController controller, HttpClient client, LongConsumer sentBytes, LongConsumer receivedBytes) {
        this.controller = controller;
        this.client = client;
        this.sentBytes = sentBytes;
        this.receivedBytes = receivedBytes;
    }

    /**
     * Creates a client.
     *
     * @param controller runs the requests
     * @param connectTimeoutMillis the timeout for establishing a connection
     * @param maxResponseBytes the maximum size of a response body
     * @param sentBytes receives the number of body bytes of each request
     * @param receivedBytes receives the number of body bytes of each response
     * @return the client
     */
    public static WebClient of(
            ExecController controller,
            long connectTimeoutMillis,
            int maxResponseBytes,
            LongConsumer sentBytes,
            LongConsumer receivedBytes) {
        HttpClient client = Try.of(() -> HttpClient.of(spec -> spec.execController(controller)
                        .useJdkAddressResolver()
                        .poolSize(0)
                        .connectTimeout(Duration.ofMillis(connectTimeoutMillis))
                        .maxContentLength(maxResponseBytes)))
                .get();
        return new WebClient(controller, client, sentBytes, receivedBytes);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the result, which never completes exceptionally
     */
    public CompletableFuture<WebResult> send(WebRequest request) {
        CompletableFuture<WebResult> result = new CompletableFuture<>();
        sentBytes.accept(request.body().length);
        controller.fork().onError(error -> result.complete(resultOf(error))).start(execution -> client.request(
                        request.uri(), spec -> configure(request, spec))
                .onError(error -> result.complete(resultOf(error)))
                .then(response -> result.complete(resultOf(response))));
        // Ratpack restarts its read timeout with each received byte, so it does not limit the duration of a slow
        // response.
        return result.completeOnTimeout(
                new WebResult.Lost("no response within the timeout"), request.timeoutMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        client.close();
    }

    private static void configure(WebRequest request, RequestSpec spec) {
        spec.method(HttpMethod.of(request.method()));
        spec.redirects(0);
        spec.readTimeout(Duration.ofMillis(request.timeoutMillis()));
        request.headers().forEach((name, value) -> spec.getHeaders().set(name, value));
        if (request.body().length > 0) {
            spec.getBody().type("application/json").bytes(request.body());
        }
    }

    private WebResult resultOf(ReceivedResponse response) {
        byte[] body = response.getBody().getBytes();
        receivedBytes.accept(body.length);
        return new WebResult.Response(response.getStatusCode(), body);
    }

    private static WebResult resultOf(Throwable error) {
        String reason = ConnectionFailures.reasonOf(error);
        return error instanceof ConnectException ? new WebResult.NotSent(reason) : new WebResult.Lost(reason);
    }
}
