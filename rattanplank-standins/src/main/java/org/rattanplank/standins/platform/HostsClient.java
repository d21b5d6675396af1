package org.rattanplank.standins.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.standins.http.Json;

/** Enters hosts into the platform's list and takes them out. Thread safe. */
public final class HostsClient {
    private final HttpClient client = HttpClient.newHttpClient();
    private final String platform;

    private HostsClient(String platform) {
        this.platform = platform;
    }

    /**
     * Makes a client.
     *
     * @param platform the platform's address, with the path of a view if it is not the one list of the platform
     * @return the client
     */
    public static HostsClient of(String platform) {
        return new HostsClient(platform);
    }

    /**
     * Enters a host.
     *
     * @param name its name
     * @param host what the list says of it
     */
    public void put(String name, JsonNode host) {
        send(request(name).PUT(HttpRequest.BodyPublishers.ofString(Json.write(host))));
    }

    /**
     * Takes a host out.
     *
     * @param name its name
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
                throw new IOException("the platform's list answered " + response.statusCode());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while the platform's list was written", e);
        }
    }
}
