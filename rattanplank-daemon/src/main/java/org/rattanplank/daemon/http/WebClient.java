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
 * Makes short calls to targets and the platform with Ratpack's client, each on a connection of its own.
 *
 * <p>Invariant: each call ends with one reply, at the latest at its timeout. Thread safe.
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
     * Makes a client.
     *
     * @param controller what runs the calls
     * @param connectTimeoutMillis when connecting is given up
     * @param maxAnswerBytes the largest answer
     * @param sentBytes told how many bytes of bodies went out
     * @param receivedBytes told how many bytes of bodies came in
     * @return the client
     */
    public static WebClient of(
            ExecController controller,
            long connectTimeoutMillis,
            int maxAnswerBytes,
            LongConsumer sentBytes,
            LongConsumer receivedBytes) {
        HttpClient client = Try.of(() -> HttpClient.of(spec -> spec.execController(controller)
                        .useJdkAddressResolver()
                        .poolSize(0)
                        .connectTimeout(Duration.ofMillis(connectTimeoutMillis))
                        .maxContentLength(maxAnswerBytes)))
                .get();
        return new WebClient(controller, client, sentBytes, receivedBytes);
    }

    /**
     * Makes a call.
     *
     * @param call the call
     * @return its end, which never fails
     */
    public CompletableFuture<WebReply> send(WebCall call) {
        CompletableFuture<WebReply> reply = new CompletableFuture<>();
        sentBytes.accept(call.body().length);
        controller.fork().onError(error -> reply.complete(replyOf(error))).start(execution -> client.request(
                        call.uri(), spec -> write(call, spec))
                .onError(error -> reply.complete(replyOf(error)))
                .then(response -> reply.complete(replyOf(response))));
        // Ratpack's own timeout starts anew with each byte: an answer that trickles in would be waited for without end.
        return reply.completeOnTimeout(
                new WebReply.Lost("no answer came in time"), call.timeoutMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        client.close();
    }

    private static void write(WebCall call, RequestSpec spec) {
        spec.method(HttpMethod.of(call.method()));
        spec.redirects(0);
        spec.readTimeout(Duration.ofMillis(call.timeoutMillis()));
        call.headers().forEach((name, value) -> spec.getHeaders().set(name, value));
        if (call.body().length > 0) {
            spec.getBody().type("application/json").bytes(call.body());
        }
    }

    private WebReply replyOf(ReceivedResponse response) {
        byte[] body = response.getBody().getBytes();
        receivedBytes.accept(body.length);
        return new WebReply.Answered(response.getStatusCode(), body);
    }

    private static WebReply replyOf(Throwable error) {
        String reason = Failures.reasonOf(error);
        return error instanceof ConnectException ? new WebReply.NotSent(reason) : new WebReply.Lost(reason);
    }
}
