package org.rattanplank.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import org.rattanplank.cli.BoundedHttpExchange;
import org.rattanplank.standins.http.Json;

/** Sends JSON requests to the control and operator ports. Thread safe. */
final class Http {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

    JsonNode get(String address, String path) throws IOException {
        return send(request(address, path));
    }

    JsonNode post(String address, String path, String body) {
        return Try.of(() -> send(request(address, path).POST(HttpRequest.BodyPublishers.ofString(body))))
                .get();
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    private JsonNode send(HttpRequest.Builder request) throws IOException {
        try {
            HttpResponse<String> response = BoundedHttpExchange.send(client, request.build(), TIMEOUT);
            return Json.readOrEmpty(response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
