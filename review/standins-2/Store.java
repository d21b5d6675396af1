import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: items, pages, watches, leases and transactions as PROTOCOL.md describes them. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;

    private final HttpServer server;
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 1;
    private long lastLease;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/rattanplank/", this::handle);
        server.start();
        Thread expiry = new Thread(() -> {
            while (true) {
                Lab.sleep(100);
                expireLeases();
            }
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item as the operator or a replica does. */
    synchronized long put(String key, JsonNode value) {
        return put(key, Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(JSON.createObjectNode().put("key", key).put("revision", revision).put("tombstone", true));
            notifyAll();
        }
    }

    synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    private long put(String key, String value, long lease) {
        revision++;
        long created = items.containsKey(key) ? items.get(key).get("created").asLong() : revision;
        ObjectNode item = JSON.createObjectNode()
                .put("key", key)
                .put("value", value)
                .put("revision", revision)
                .put("created", created)
                .put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime() / 1_000_000;
        for (long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) < now) {
                endLease(lease);
            }
        }
    }

    private boolean endLease(long lease) {
        leaseTtls.remove(lease);
        if (leaseEnds.remove(lease) == null) {
            return false;
        }
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).get("lease").asLong() == lease) {
                remove(key);
            }
        }
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath().substring("/rattanplank".length());
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        ObjectNode answer = JSON.createObjectNode();
        int status = switch (path.split("/")[1]) {
            case "kv-range" -> list(query, answer);
            case "kv-key" -> get(query, answer);
            case "kv-watch" -> watch(query, answer);
            case "kv-txn" -> change(JSON.readTree(body), answer);
            case "kv-lease" -> grant(JSON.readTree(body), answer);
            case "kv-keep" -> renew(Long.parseLong(path.split("/")[2]));
            case "kv-lease-end" -> revoke(Long.parseLong(path.split("/")[2]));
            default -> 404;
        };
        byte[] bytes = JSON.writeValueAsBytes(answer);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized int list(Map<String, String> query, ObjectNode answer) {
        ArrayNode listed = answer.putArray("items");
        boolean more = false;
        for (Map.Entry<String, ObjectNode> each : items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (each.getKey().startsWith(query.getOrDefault("prefix", ""))) {
                if (listed.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                listed.add(each.getValue());
            }
        }
        answer.put("has_more", more).put("current_rev", revision);
        return 200;
    }

    private synchronized int get(Map<String, String> query, ObjectNode answer) {
        ObjectNode item = items.get(query.get("key"));
        if (item == null) {
            return 404;
        }
        answer.setAll(item);
        answer.put("current_rev", revision);
        return 200;
    }

    private synchronized int watch(Map<String, String> query, ObjectNode answer) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            ArrayNode events = JSON.createArrayNode();
            for (ObjectNode each : history) {
                if (each.get("revision").asLong() > after
                        && each.get("key").asText().startsWith(query.getOrDefault("prefix", ""))) {
                    events.add(each);
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                answer.set("events", events);
                answer.put("current_rev", revision);
                return 200;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return 503;
            }
        }
    }

    private synchronized int change(JsonNode body, ObjectNode answer) {
        ArrayNode current = JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode each : body.path("expected_revision")) {
            ObjectNode item = items.get(each.get("key").asText());
            holds &= each.get("revision").asLong() == (item == null ? 0 : item.get("revision").asLong());
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            answer.set("items", current);
            return 412;
        }
        for (JsonNode each : body.path("puts")) {
            String key = each.get("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            long lease = each.path("lease").asLong();
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return 404;
            }
        }
        for (JsonNode each : body.path("puts")) {
            put(each.get("key").asText(), each.get("value").asText(), each.path("lease").asLong());
        }
        for (JsonNode each : body.path("remove")) {
            remove(each.asText());
        }
        answer.put("revision", revision);
        return 200;
    }

    private synchronized int grant(JsonNode body, ObjectNode answer) {
        long ttl = Math.max(1_000, Math.min(600_000, body.get("ttl_ms").asLong()));
        lastLease++;
        leaseTtls.put(lastLease, ttl);
        leaseEnds.put(lastLease, System.nanoTime() / 1_000_000 + ttl);
        answer.put("lease", lastLease).put("ttl_ms", ttl);
        return 200;
    }

    private synchronized int renew(long lease) {
        if (!leaseEnds.containsKey(lease)) {
            return 404;
        }
        leaseEnds.put(lease, System.nanoTime() / 1_000_000 + leaseTtls.get(lease));
        return 200;
    }

    private synchronized int revoke(long lease) {
        return endLease(lease) ? 200 : 404;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
