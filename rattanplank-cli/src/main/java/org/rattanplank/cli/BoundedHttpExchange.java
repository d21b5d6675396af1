package org.rattanplank.cli;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Makes HTTP calls with a timeout that covers the whole exchange, including the response body.
 *
 * <p>The timeout of {@link HttpClient} ends with the response headers. A server that starts a response and never ends it
 * would block the caller forever. Symptom: a command hangs with its thread inside the client's send. Stateless and
 * thread safe.
 */
public final class BoundedHttpExchange {
    private BoundedHttpExchange() {}

    /**
     * Sends a request and waits for the complete response.
     *
     * @param client the HTTP client
     * @param request the request
     * @param timeout the timeout for connecting, headers and body together
     * @return the response
     * @throws IOException if the complete response does not arrive within the timeout
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public static HttpResponse<String> send(HttpClient client, HttpRequest request, Duration timeout)
            throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<String>> response =
                client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        try {
            return response.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            response.cancel(true);
            throw new HttpTimeoutException("no whole answer within " + timeout.toMillis() + " ms");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw new IOException(e.getCause());
        }
    }
}
