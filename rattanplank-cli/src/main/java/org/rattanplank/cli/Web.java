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

/**
 * Makes HTTP calls and tells those that were surely not made from those that may have taken effect. Thread safe.
 */
final class Web {
    static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;
    private final Duration timeout;

    private Web(Duration timeout) {
        this.timeout = timeout;
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    static Web of(Duration timeout) {
        return new Web(timeout);
    }

    Either<WebFailure, WebAnswer> get(String address, String path) {
        return send(request(address, path).GET());
    }

    Either<WebFailure, WebAnswer> post(String address, String path, String body) {
        return send(request(address, path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(timeout);
    }

    private Either<WebFailure, WebAnswer> send(HttpRequest.Builder builder) {
        HttpRequest request = builder.build();
        try {
            HttpResponse<String> response = WholeExchange.send(client, request, timeout);
            return Either.right(new WebAnswer(response.statusCode(), JSON.readTree(response.body())));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return Either.left(new WebFailure(true, "cannot connect to " + request.uri()));
        } catch (IOException e) {
            return Either.left(new WebFailure(false, "no answer from " + request.uri() + ": " + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(new WebFailure(false, "interrupted while waiting for " + request.uri()));
        }
    }
}
