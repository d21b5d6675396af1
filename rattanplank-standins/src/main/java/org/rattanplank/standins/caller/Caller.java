package org.rattanplank.standins.caller;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.standins.http.Json;

/**
 * A client that calls the system.
 *
 * <p>Invariant: each call has one result; a call whose response is overdue is lost, even if the response arrives later.
 * Thread safe.
 */
public final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration OVERDUE_GRACE = Duration.ofSeconds(5);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
    private final String token;

    private Caller(String token) {
        this.token = token;
    }

    /**
     * Returns a caller of an account.
     *
     * @param token the account's bearer token
     * @return the caller
     */
    public static Caller of(String token) {
        return new Caller(token);
    }

    /**
     * Requests the list of entry hosts to use.
     *
     * @param host the address of any entry host
     * @return the addresses of the hosts, in order of preference
     * @throws IOException if the host does not respond with success
     */
    public List<String> entryHosts(String host) throws IOException {
        List<String> addresses = new ArrayList<>();
        HttpRequest request = request(host, "/v1/entry-hosts").GET().build();
        for (JsonNode entry : Json.readOrEmpty(fetchBody(request)).path("hosts")) {
            addresses.add(
                    entry.path("address").asText() + ":" + entry.path("port").asInt());
        }
        return addresses;
    }

    /**
     * Requests a new idempotency key.
     *
     * @param host the address of any entry host
     * @return the key
     * @throws IOException if the host does not respond with success
     */
    public String newIdempotencyKey(String host) throws IOException {
        HttpRequest request = request(host, "/v1/idempotency-keys")
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        JsonNode response = Json.readOrEmpty(fetchBody(request));
        return response.path("key").asText(response.path("idempotencyKey").asText());
    }

    /**
     * Sends a call and waits for its result.
     *
     * @param host the address of an entry host
     * @param call the call
     * @return the result
     */
    public CallResult send(String host, CallRequest call) {
        return sendAsync(host, call).join();
    }

    /**
     * Sends a call without waiting for its result.
     *
     * @param host the address of an entry host
     * @param call the call
     * @return the future result, which never completes exceptionally
     */
    public CompletableFuture<CallResult> sendAsync(String host, CallRequest call) {
        HttpRequest.Builder request = request(host, call.path())
                .header("Content-Type", "application/json")
                .header("Rattanplank-Class", call.kind().workClass())
                .header(
                        "Rattanplank-Timeout-Millis",
                        Long.toString(call.timeout().toMillis()));
        call.idempotencyKey().forEach(key -> request.header("Idempotency-Key", key));
        call.residency().forEach(label -> request.header("Rattanplank-Residency", label));
        request.POST(HttpRequest.BodyPublishers.ofString(call.body()));
        Duration overdueAfter = call.timeout().plus(OVERDUE_GRACE);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                .orTimeout(overdueAfter.toMillis(), TimeUnit.MILLISECONDS)
                .handle((response, failure) -> failure == null ? result(call, response) : result(call, failure));
    }

    private static CallResult result(CallRequest call, HttpResponse<String> response) {
        String label = header(response, "Rattanplank-Outcome");
        CallOutcome outcome = CallOutcome.of(response.statusCode(), label);
        JsonNode error = outcome == CallOutcome.ANSWERED
                ? Json.object()
                : Json.readOrEmpty(response.body()).path("error");
        String reason =
                (error.path("step").asText() + " " + error.path("reason").asText()).trim();
        String retryAfter = header(response, "Retry-After");
        return new CallResult(
                call.reference(),
                header(response, "Rattanplank-Request-Id"),
                outcome,
                response.statusCode(),
                header(response, "Rattanplank-Path"),
                response.body(),
                outcome == CallOutcome.ANSWERED && call.kind().isCompleteResponse(call, response.body()),
                reason,
                retryAfter.isEmpty() ? 0 : Long.parseLong(retryAfter));
    }

    private static CallResult result(CallRequest call, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        CallOutcome outcome = cause instanceof ConnectException
                ? CallOutcome.UNREACHED
                : cause instanceof TimeoutException ? CallOutcome.LOST : CallOutcome.BROKEN;
        return CallResult.withoutResponse(call.reference(), outcome, cause.toString());
    }

    private HttpRequest.Builder request(String host, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + host + path)).header("Authorization", "Bearer " + token);
    }

    private String fetchBody(HttpRequest request) throws IOException {
        try {
            HttpResponse<String> response = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .get(CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (response.statusCode() != 200) {
                throw new IOException(request.uri() + " responded with HTTP status " + response.statusCode() + ": "
                        + response.body());
            }
            return response.body();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no response from " + request.uri(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for " + request.uri(), e);
        }
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }
}
