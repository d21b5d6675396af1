package org.rattanplank.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.rattanplank.core.response.StatusCode;

/**
 * Makes HTTP calls with JSON responses, and separates calls that were definitely not sent from those that may have had an
 * effect. Thread safe.
 */
final class JsonHttpClient {
    static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;
    private final Duration timeout;

    private JsonHttpClient(Duration timeout) {
        this.timeout = timeout;
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    static JsonHttpClient of(Duration timeout) {
        return new JsonHttpClient(timeout);
    }

    Either<CallFailure, JsonResponse> get(String address, String path) {
        return send(requestBuilder(address, path).GET());
    }

    Either<CallFailure, JsonResponse> post(String address, String path, String body) {
        return send(requestBuilder(address, path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpRequest.Builder requestBuilder(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(timeout);
    }

    private Either<CallFailure, JsonResponse> send(HttpRequest.Builder builder) {
        HttpRequest request = builder.build();
        try {
            HttpResponse<String> response = BoundedHttpExchange.send(client, request, timeout);
            if (!StatusCode.isValid(response.statusCode())) {
                return Either.left(
                        new CallFailure(false, "the answer from " + request.uri() + " has an invalid status"));
            }
            return Either.right(new JsonResponse(response.statusCode(), JSON.readTree(response.body())));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return Either.left(new CallFailure(true, "cannot connect to " + request.uri()));
        } catch (IOException e) {
            return Either.left(new CallFailure(false, "no answer from " + request.uri() + ": " + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(new CallFailure(false, "interrupted while waiting for " + request.uri()));
        }
    }
}
