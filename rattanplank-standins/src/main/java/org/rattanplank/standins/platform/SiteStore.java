package org.rattanplank.standins.platform;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.platform.PlatformPaths;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * Stand-in of the deployment platform's store over HTTP: items, watches, leases and conditional changes.
 *
 * <p>Invariant: a change whose condition fails has no effect. Values are stored as they are written, in Base64. Not
 * thread safe: confined to its event loop, except where a method states otherwise.
 */
public final class SiteStore {
    private static final long LEASE_EXPIRY_PERIOD_MILLIS = 100;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_UNAVAILABLE = 503;

    private final EventLoop loop;
    private final List<Runnable> pendingWatches = new ArrayList<>();
    private final Deque<KeyValueStore> copies = new ArrayDeque<>();
    private KeyValueStore store = KeyValueStore.of(change -> scheduleWatches());
    private long era = 1;
    private volatile boolean down;
    private boolean historyDropped;

    private SiteStore(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Returns a store.
     *
     * @param loop the event loop that serves it
     * @return the store, which is empty
     */
    public static SiteStore of(EventLoop loop) {
        SiteStore store = new SiteStore(loop);
        loop.scheduleAtFixedRate(
                LEASE_EXPIRY_PERIOD_MILLIS, () -> store.store.expireLeases(System.currentTimeMillis()));
        return store;
    }

    /**
     * Starts serving the store.
     *
     * @param port the port, zero for an ephemeral port
     * @return the address that is served
     */
    public InetSocketAddress serve(int port) {
        return loop.serve(port, this::handle);
    }

    /**
     * Makes the store reject all calls from now on, or accept them again. May be called from any thread and takes effect
     * before it returns: if it were a task of the event loop, the loop could read the next call of the same caller first
     * and reject it although the store is up again.
     *
     * @param newDown whether to reject calls
     */
    public void down(boolean newDown) {
        down = newDown;
    }

    /** Drops the history once: the next watch gets a response that says so. May be called from any thread. */
    public void dropHistory() {
        loop.schedule(0, () -> {
            historyDropped = true;
            checkWatches();
        });
    }

    /** Keeps a copy to come back from. May be called from any thread but the event loop's. */
    public void keepCopy() {
        runInLoop(() -> copies.add(store.copy()));
    }

    /**
     * Comes back from the oldest copy that was kept: what was written since is gone, leases too, and revisions and leases are
     * given out again. May be called from any thread but the event loop's, and takes effect before it returns: what its caller
     * writes next would be lost otherwise.
     */
    public void restore() {
        runInLoop(() -> {
            store = copies.remove();
            era++;
            checkWatches();
        });
    }

    private void runInLoop(Runnable action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.schedule(0, () -> {
            action.run();
            done.complete(null);
        });
        done.join();
    }

    /**
     * Runs the store until the process is terminated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        PlatformOptions options = new PlatformOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = SiteStore.of(EventLoop.of()).serve(options.port);
        System.out.println("store ready address=" + Addresses.format(address));
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        if (down) {
            respond(exchange, STATUS_UNAVAILABLE, Json.object());
        } else if (path.equals(PlatformPaths.LIST)) {
            list(exchange);
        } else if (path.equals(PlatformPaths.WATCH)) {
            watch(exchange);
        } else if (path.equals(PlatformPaths.GRANT_LEASE)) {
            long ttlMillis = exchange.jsonBody().path("ttl_ms").asLong();
            Lease lease = store.grantLease(0, ttlMillis, System.currentTimeMillis());
            respond(exchange, STATUS_OK, Json.object().put("lease", lease.id()).put("ttl_ms", ttlMillis));
        } else if (path.startsWith(PlatformPaths.RENEW_LEASE)) {
            Option<Lease> renewed =
                    store.renewLease(parseId(path, PlatformPaths.RENEW_LEASE), System.currentTimeMillis());
            respond(exchange, renewed.isDefined() ? STATUS_OK : STATUS_NOT_FOUND, Json.object());
        } else if (path.startsWith(PlatformPaths.REVOKE_LEASE)) {
            boolean revoked = store.revokeLease(parseId(path, PlatformPaths.REVOKE_LEASE));
            respond(exchange, revoked ? STATUS_OK : STATUS_NOT_FOUND, Json.object());
        } else if (path.equals(PlatformPaths.TRANSACTION)) {
            change(exchange);
        } else {
            respond(exchange, STATUS_NOT_FOUND, Json.object());
        }
    }

    private void list(Exchange exchange) {
        String prefix = exchange.query("prefix").getOrElse("");
        String after = exchange.query("after").getOrElse("");
        ObjectNode response = Json.object().put("has_more", false).put("current_rev", store.revision());
        ArrayNode items = response.putArray("items");
        for (StoredValue value : store.range(new KeyRange(prefix, "\0"))) {
            if (value.key().startsWith(prefix) && value.key().compareTo(after) > 0) {
                items.add(item(value));
            }
        }
        respond(exchange, STATUS_OK, response);
    }

    private void watch(Exchange exchange) {
        String prefix = exchange.query("prefix").getOrElse("");
        long after = exchange.query("after").map(Long::parseLong).getOrElse(0L);
        long waitMillis = exchange.query("wait_ms").map(Long::parseLong).getOrElse(0L);
        long watchedEra = era;
        boolean[] responded = new boolean[1];
        Function<Boolean, Boolean> respond = onlyIfChanged -> {
            ArrayNode events = Json.array();
            for (StoredValue change : store.changesSince(after + 1)) {
                if (change.key().startsWith(prefix)) {
                    events.add(item(change));
                }
            }
            if (responded[0]
                    || onlyIfChanged
                            && events.isEmpty()
                            && !historyDropped
                            && era == watchedEra
                            && after <= store.revision()) {
                return responded[0];
            }
            responded[0] = true;
            ObjectNode body = Json.object().put("current_rev", store.revision());
            body.set("events", events);
            boolean dropped = historyDropped || era != watchedEra || after > store.revision();
            historyDropped = false;
            respond(exchange, dropped ? STATUS_GONE : STATUS_OK, body);
            return true;
        };
        if (!respond.apply(true)) {
            pendingWatches.add(() -> respond.apply(true));
            loop.schedule(waitMillis, () -> respond.apply(false));
        }
    }

    private void change(Exchange exchange) {
        JsonNode body = exchange.jsonBody();
        for (JsonNode condition : body.path("expected_revision")) {
            StoredValue value = store.get(condition.path("key").asText());
            long revision = value.isDeleted() ? 0 : value.modRevision();
            if (revision != condition.path("revision").asLong()) {
                respond(exchange, STATUS_PRECONDITION_FAILED, Json.object().putArray("items"));
                return;
            }
        }
        for (JsonNode put : body.path("puts")) {
            String value = put.path("value").asText();
            if (!store.put(put.path("key").asText(), value, put.path("lease").asLong())) {
                respond(exchange, STATUS_NOT_FOUND, Json.object());
                return;
            }
        }
        body.path("remove").forEach(key -> store.delete(KeyRange.of(key.asText())));
        respond(exchange, STATUS_OK, Json.object().put("revision", store.revision()));
    }

    private void respond(Exchange exchange, int status, JsonNode body) {
        exchange.respond(status, Map.of(PlatformHeaders.STORE_ERA, Long.toString(era)), body);
    }

    private void scheduleWatches() {
        loop.schedule(0, this::checkWatches);
    }

    private void checkWatches() {
        List<Runnable> waiting = List.copyOf(pendingWatches);
        pendingWatches.clear();
        waiting.forEach(watch -> {
            pendingWatches.add(watch);
            watch.run();
        });
    }

    private static ObjectNode item(StoredValue value) {
        ObjectNode item = Json.object().put("key", value.key()).put("revision", value.modRevision());
        if (value.isDeleted()) {
            return item.put("tombstone", true);
        }
        return item.put("value", value.value())
                .put("created", value.createRevision())
                .put("lease", value.leaseId());
    }

    private static long parseId(String path, String prefix) {
        return Long.parseLong(path.substring(prefix.length()));
    }
}
