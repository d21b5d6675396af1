package org.rattanplank.standins.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.TestHttp;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformTest {
    private final EventLoop loop = EventLoop.of();
    private final TestHttp platform = new TestHttp(Addresses.format(Platform.serve(loop, new PlatformOptions())));

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void shouldWriteOnlyOnceWhenTwoWritersExpectTheSameRevision() throws Exception {
        assertTrue(createIfAbsent("k", "first").path("succeeded").asBoolean(false));
        assertFalse(createIfAbsent("k", "second").path("succeeded").asBoolean(false));
        assertEquals("first", read("k"));
    }

    @Test
    void shouldSendEarlierAndLaterChangesWhenWatchStartsAtRevision() throws Exception {
        createIfAbsent("k", "earlier");
        String watch = "{\"create_request\":{\"key\":\"" + base64("k") + "\",\"start_revision\":\"2\"}}";
        HttpRequest request = platform.request("/v3/watch")
                .POST(HttpRequest.BodyPublishers.ofString(watch))
                .build();
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(platform.client()
                .send(request, HttpResponse.BodyHandlers.ofInputStream())
                .body()))) {
            assertTrue(result(lines).path("created").asBoolean());
            assertEquals(base64("earlier"), eventValue(lines));
            platform.post("/v3/kv/put", put("k", "later", 0));
            assertEquals(base64("later"), eventValue(lines));
        }
    }

    // Guards against a fault injection that drops the write together with its response: the write must take effect
    // although the writer only sees a connection reset and can't know whether it did.
    @Test
    void shouldApplyWriteWhenItsResponseIsLost() throws Exception {
        platform.post("/faults", "{\"loseAnswers\":1}");
        assertThrows(IOException.class, () -> platform.post("/v3/kv/put", put("k", "kept", 0)));
        assertEquals("kept", read("k"));
    }

    @Test
    void shouldResetConnectionsWhenStoreIsDown() throws Exception {
        platform.post("/faults", "{\"storeDown\":true}");
        assertThrows(IOException.class, () -> read("k"));
        platform.post("/faults", "{\"storeDown\":false}");
        assertEquals("", read("k"));
    }

    // Guards against a missing response to the call that takes the store down while a watch is open: the reset watch
    // removes itself from the list of watches while that list is being iterated.
    @Test
    void shouldResetWatchesAndRespondWhenStoreGoesDown() throws Exception {
        HttpRequest watch = platform.request("/v3/watch")
                .POST(HttpRequest.BodyPublishers.ofString("{\"create_request\":{\"key\":\"" + base64("k") + "\"}}"))
                .build();
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(platform.client()
                .send(watch, HttpResponse.BodyHandlers.ofInputStream())
                .body()))) {
            assertTrue(result(lines).path("created").asBoolean());
            assertEquals(200, platform.post("/faults", "{\"storeDown\":true}").statusCode());
            assertThrows(IOException.class, lines::readLine);
        }
    }

    @Test
    void shouldReturnOldValueWhenReadsAreStale() throws Exception {
        createIfAbsent("k", "old");
        platform.post("/faults", "{\"staleReads\":true}");
        platform.post("/v3/kv/put", put("k", "new", 0));
        assertEquals("old", read("k"));
    }

    @Test
    void shouldDeleteKeyAndRejectWritesWhenLeaseExpires() {
        KeyValueStore store = KeyValueStore.of(change -> {});
        Lease lease = store.grantLease(0, 1_000, 0);
        assertTrue(store.put("k", "v", lease.id()));
        assertTrue(store.renewLease(lease.id(), 900).isDefined());
        store.expireLeases(1_899);
        assertFalse(store.get("k").isDeleted());
        store.expireLeases(1_900);
        assertTrue(store.get("k").isDeleted());
        assertFalse(store.put("k", "late", lease.id()));
        assertTrue(store.renewLease(lease.id(), 1_901).isEmpty());
    }

    @Test
    void shouldCountCallAndReturnHostsWhenHostListIsRead() throws Exception {
        HostsClient.of(addressOf(platform)).put("suva-1", Json.object().put("role", "entry"));
        assertEquals("suva-1", platform.get("/hosts").at("/hosts/0/name").asText());
        assertEquals(1, platform.get("/counts").path("hosts").asInt());
    }

    private static String addressOf(TestHttp http) {
        return http.request("/").build().uri().getAuthority();
    }

    private JsonNode createIfAbsent(String key, String value) throws Exception {
        return platform.postJson(
                "/v3/kv/txn",
                "{\"compare\":[{\"key\":\"" + base64(key) + "\",\"target\":\"MOD\",\"mod_revision\":\"0\"}],"
                        + "\"success\":[{\"requestPut\":" + put(key, value, 0) + "}]}");
    }

    private String read(String key) throws Exception {
        JsonNode found = platform.postJson("/v3/kv/range", "{\"key\":\"" + base64(key) + "\"}");
        return new String(Base64.getDecoder().decode(found.at("/kvs/0/value").asText()));
    }

    private static String put(String key, String value, long lease) {
        return "{\"key\":\"" + base64(key) + "\",\"value\":\"" + base64(value) + "\",\"lease\":\"" + lease + "\"}";
    }

    private static String eventValue(BufferedReader lines) throws IOException {
        return result(lines).at("/events/0/kv/value").asText();
    }

    private static JsonNode result(BufferedReader lines) throws IOException {
        return Json.readOrEmpty(lines.readLine()).path("result");
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes());
    }
}
