package org.rattanplank.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.standins.http.Json;

/** HTTP client for calls to a stand-in. Thread safe. */
public final class TestHttp {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client = HttpClient.newHttpClient();
    private final String address;

    public TestHttp(String address) {
        this.address = address;
    }

    public HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
        return client.send(
                request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    public JsonNode postJson(String path, String body) throws IOException, InterruptedException {
        return Json.readOrEmpty(post(path, body).body());
    }

    public JsonNode get(String path) throws IOException, InterruptedException {
        return Json.readOrEmpty(client.send(request(path).build(), HttpResponse.BodyHandlers.ofString())
                .body());
    }

    public HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("X-Request-Id", "r1");
    }

    public HttpClient client() {
        return client;
    }
}
