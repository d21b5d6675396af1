package org.rattanplank.standins.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.standins.http.Json;

/** Adds hosts to the platform's host list and removes them. Thread safe. */
public final class HostsClient {
    private final HttpClient client = HttpClient.newHttpClient();
    private final String platform;

    private HostsClient(String platform) {
        this.platform = platform;
    }

    /**
     * Returns a client of a platform.
     *
     * @param platform the platform's address, followed by the path of a view for a list other than the main host list
     * @return the client
     */
    public static HostsClient of(String platform) {
        return new HostsClient(platform);
    }

    /**
     * Adds a host or replaces its entry.
     *
     * @param name the host's name
     * @param host its entry in the host list
     */
    public void put(String name, JsonNode host) {
        send(request(name).PUT(HttpRequest.BodyPublishers.ofString(Json.write(host))));
    }

    /**
     * Removes a host.
     *
     * @param name the host's name
     */
    public void delete(String name) {
        send(request(name).DELETE());
    }

    private HttpRequest.Builder request(String name) {
        return HttpRequest.newBuilder(URI.create("http://" + platform + "/hosts/" + name));
    }

    private void send(HttpRequest.Builder request) {
        try {
            HttpResponse<Void> response = client.send(request.build(), HttpResponse.BodyHandlers.discarding());
            if (response.statusCode() != 200) {
                throw new IOException(
                        "update of the platform's host list failed with HTTP status " + response.statusCode());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted during an update of the platform's host list", e);
        }
    }
}
