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
 * Makes a call whose whole exchange, the answer's body included, ends within a bound.
 *
 * <p>The client's own timeout stops counting at the head of an answer: a server that starts an answer and never ends it
 * would hold its caller for ever, and one would see a command hang with its thread inside the client's send. Stateless
 * and thread safe.
 */
public final class WholeExchange {
    private WholeExchange() {}

    /**
     * Makes a call.
     *
     * @param client what makes it
     * @param request the request
     * @param bound how long connecting, the head and the body may take together
     * @return the answer
     * @throws IOException if there is no whole answer within the bound
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public static HttpResponse<String> send(HttpClient client, HttpRequest request, Duration bound)
            throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<String>> answer =
                client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        try {
            return answer.get(bound.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            answer.cancel(true);
            throw new HttpTimeoutException("no whole answer within " + bound.toMillis() + " ms");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw new IOException(e.getCause());
        }
    }
}
