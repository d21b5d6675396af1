package org.rattanplank.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.platform.PlatformItems;
import org.rattanplank.platform.PlatformPaths;
import org.rattanplank.standins.http.Json;

/** Client that writes to the stand-in store as the operator and the replicas do. Thread safe. */
public final class SiteStoreClient {
    private static final int STATUS_OK = 200;
    private static final int TARGET_SLOTS = 8;

    private final HttpClient client = HttpClient.newHttpClient();
    private final String store;

    private SiteStoreClient(String store) {
        this.store = store;
    }

    /**
     * Returns a client of a store.
     *
     * @param store the store's address
     * @return the client
     */
    public static SiteStoreClient of(String store) {
        return new SiteStoreClient(store);
    }

    /**
     * Installs a configuration.
     *
     * @param configuration the configuration
     */
    public void configure(JsonNode configuration) {
        put(PlatformItems.CONFIGURATION_KEY, configuration);
    }

    /**
     * Registers a target as ready.
     *
     * @param id the target's identifier
     * @param service the target's service
     * @param address the target's address
     * @param dataCentre the target's data centre
     */
    public void registerTarget(String id, String service, String address, String dataCentre) {
        put(
                PlatformItems.TARGETS_PREFIX + id,
                Json.object()
                        .put("backend", service)
                        .put("address", address)
                        .put("zone", dataCentre)
                        .put("slots", TARGET_SLOTS)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0));
    }

    /**
     * Removes a target.
     *
     * @param id the target's identifier
     */
    public void removeTarget(String id) {
        ObjectNode change = Json.object();
        change.putArray("remove").add(PlatformItems.TARGETS_PREFIX + id);
        send(change);
    }

    private void put(String key, JsonNode value) {
        ObjectNode change = Json.object();
        change.putArray("puts")
                .addObject()
                .put("key", key)
                .put(
                        "value",
                        Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)));
        send(change);
    }

    private void send(ObjectNode change) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + store + PlatformPaths.TRANSACTION))
                .POST(HttpRequest.BodyPublishers.ofString(Json.write(change)))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != STATUS_OK) {
                throw new IOException("store update failed with HTTP status " + response.statusCode());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted during a store update", e);
        }
    }
}
