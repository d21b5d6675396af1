package org.rattanplank.standins.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.platform.PlatformPaths;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * The users' store over HTTP, as a stand-in: items, watches, leases and changes under conditions.
 *
 * <p>Invariant: a change is made whole or not at all. Values are kept as they are written, in base64. Not thread safe:
 * confined to its event loop.
 */
public final class SiteStore {
    private static final long EXPIRE_EVERY_MILLIS = 100;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;

    private final EventLoop loop;
    private final List<Runnable> watches = new ArrayList<>();
    private final KeyValueStore store = KeyValueStore.of(change -> watchesSoon());
    private volatile boolean down;
    private boolean forgetful;

    private SiteStore(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Makes a store.
     *
     * @param loop the loop that serves it
     * @return the store, which is empty
     */
    public static SiteStore of(EventLoop loop) {
        SiteStore store = new SiteStore(loop);
        loop.every(EXPIRE_EVERY_MILLIS, () -> store.store.expire(System.currentTimeMillis()));
        return store;
    }

    /**
     * Serves the store.
     *
     * @param port the port, zero for one that the system chooses
     * @return the address that is served
     */
    public InetSocketAddress serve(int port) {
        return loop.serve(port, this::handle);
    }

    /**
     * Refuses all calls from now on, or takes them again. It holds when this returns: left to the event loop, a call that
     * its caller makes next could be read first, and would be refused by a store that is back.
     *
     * @param newDown whether to refuse
     */
    public void down(boolean newDown) {
        down = newDown;
    }

    /** Forgets the history once: the next watch is told so. */
    public void forgetHistory() {
        loop.after(0, () -> {
            forgetful = true;
            runWatches();
        });
    }

    /**
     * Runs the store until the process is ended.
     *
     * @param args the settings
     */
    public static void main(String[] args) {
        PlatformOptions options = new PlatformOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = SiteStore.of(EventLoop.of()).serve(options.port);
        System.out.println("store ready address=" + Addresses.write(address));
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        if (down) {
            exchange.respond(UNAVAILABLE, Json.object());
        } else if (path.equals(PlatformPaths.LIST)) {
            list(exchange);
        } else if (path.equals(PlatformPaths.WATCH)) {
            watch(exchange);
        } else if (path.equals(PlatformPaths.GRANT_LEASE)) {
            long millis = exchange.json().path("ttl_ms").asLong();
            Lease lease = store.grant(0, millis, System.currentTimeMillis());
            exchange.respond(OK, Json.object().put("lease", lease.id()).put("ttl_ms", millis));
        } else if (path.startsWith(PlatformPaths.RENEW_LEASE)) {
            Option<Lease> kept = store.keep(number(path, PlatformPaths.RENEW_LEASE), System.currentTimeMillis());
            exchange.respond(kept.isDefined() ? OK : NOT_FOUND, Json.object());
        } else if (path.startsWith(PlatformPaths.REVOKE_LEASE)) {
            boolean ended = store.revoke(number(path, PlatformPaths.REVOKE_LEASE));
            exchange.respond(ended ? OK : NOT_FOUND, Json.object());
        } else if (path.equals(PlatformPaths.TRANSACTION)) {
            change(exchange);
        } else {
            exchange.respond(NOT_FOUND, Json.object());
        }
    }

    private void list(Exchange exchange) {
        String prefix = exchange.query("prefix").getOrElse("");
        String after = exchange.query("after").getOrElse("");
        ObjectNode answer = Json.object().put("has_more", false).put("current_rev", store.revision());
        ArrayNode items = answer.putArray("items");
        for (StoredValue value : store.range(new KeyRange(prefix, "\0"))) {
            if (value.key().startsWith(prefix) && value.key().compareTo(after) > 0) {
                items.add(item(value));
            }
        }
        exchange.respond(OK, answer);
    }

    private void watch(Exchange exchange) {
        String prefix = exchange.query("prefix").getOrElse("");
        long after = exchange.query("after").map(Long::parseLong).getOrElse(0L);
        long waitMillis = exchange.query("wait_ms").map(Long::parseLong).getOrElse(0L);
        boolean[] answered = new boolean[1];
        Function<Boolean, Boolean> answer = atOnce -> {
            ArrayNode events = Json.array();
            for (StoredValue change : store.changesSince(after + 1)) {
                if (change.key().startsWith(prefix)) {
                    events.add(item(change));
                }
            }
            if (answered[0] || atOnce && events.isEmpty() && !forgetful) {
                return answered[0];
            }
            answered[0] = true;
            ObjectNode body = Json.object().put("current_rev", store.revision());
            body.set("events", events);
            boolean gone = forgetful;
            forgetful = false;
            exchange.respond(gone ? GONE : OK, body);
            return true;
        };
        if (!answer.apply(true)) {
            watches.add(() -> answer.apply(true));
            loop.after(waitMillis, () -> answer.apply(false));
        }
    }

    private void change(Exchange exchange) {
        JsonNode body = exchange.json();
        for (JsonNode condition : body.path("expected_revision")) {
            StoredValue value = store.get(condition.path("key").asText());
            long revision = value.isDeleted() ? 0 : value.modRevision();
            if (revision != condition.path("revision").asLong()) {
                exchange.respond(CONDITION_FAILED, Json.object().putArray("items"));
                return;
            }
        }
        for (JsonNode put : body.path("puts")) {
            String value = put.path("value").asText();
            if (!store.put(put.path("key").asText(), value, put.path("lease").asLong())) {
                exchange.respond(NOT_FOUND, Json.object());
                return;
            }
        }
        body.path("remove").forEach(key -> store.delete(KeyRange.of(key.asText())));
        exchange.respond(OK, Json.object().put("revision", store.revision()));
    }

    private void watchesSoon() {
        loop.after(0, this::runWatches);
    }

    private void runWatches() {
        List<Runnable> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> {
            watches.add(watch);
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

    private static long number(String path, String prefix) {
        return Long.parseLong(path.substring(prefix.length()));
    }
}
