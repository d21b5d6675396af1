package org.rattanplank.standins.platform;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * Stands in for the platform: the store, the list of hosts and the weight store on one port.
 *
 * <p>{@code GET /counts}, {@code POST /faults} and the changes of the list always work, as they belong to the test and
 * not to the platform. Under {@code /views/NAME/hosts} it keeps further lists, so that a test can put a link between any
 * two data centres by telling each its own addresses of the other's hosts. Not thread safe: confined to its loop's thread once it serves.
 */
public final class Platform {
    private static final String VIEWS_PREFIX = "/views/";
    private static final long LEASE_EXPIRY_PERIOD_MILLIS = 50;

    private final CallCounts counts = new CallCounts();
    private final StoreApi store;
    private final HostsApi hosts;
    private final Map<String, HostsApi> views = new HashMap<>();
    private final EventLoop loop;
    private final WeightsApi weights;

    private Platform(EventLoop loop, PlatformOptions options) {
        this.loop = loop;
        store = new StoreApi(loop, counts, Faults.none(options.listLagMillis));
        hosts = new HostsApi(loop);
        weights = new WeightsApi(loop, options.transferMillis);
    }

    /**
     * Serves a platform.
     *
     * @param loop the loop that serves it
     * @param options its settings
     * @return the address that is served
     */
    public static InetSocketAddress serve(EventLoop loop, PlatformOptions options) {
        Platform platform = new Platform(loop, options);
        loop.scheduleAtFixedRate(LEASE_EXPIRY_PERIOD_MILLIS, () -> platform.store.expire(System.currentTimeMillis()));
        return loop.serve(options.port, platform::handle);
    }

    /**
     * Runs the platform until the process is ended.
     *
     * @param args the settings
     */
    public static void main(String[] args) {
        PlatformOptions options = new PlatformOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = serve(EventLoop.of(), options);
        System.out.println("platform ready address=" + Addresses.write(address));
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        if (path.equals("/counts")) {
            exchange.respond(200, counts.toJson());
        } else if (path.equals("/faults")) {
            store.faults(store.faults().updated(exchange.jsonBody()));
            exchange.respond(200, Json.object());
        } else if (StoreApi.handlesPath(path)) {
            store.handle(exchange);
        } else if (HostsApi.handlesPath(path)) {
            hosts(exchange, hosts, path);
        } else if (path.startsWith(VIEWS_PREFIX)) {
            handleView(exchange, path.substring(VIEWS_PREFIX.length()));
        } else if (WeightsApi.handlesPath(path)) {
            weights(exchange);
        } else {
            exchange.respond(404, notFound(path));
        }
    }

    private void handleView(Exchange exchange, String nameAndPath) {
        int slash = nameAndPath.indexOf('/');
        if (slash < 0 || !HostsApi.handlesPath(nameAndPath.substring(slash))) {
            exchange.respond(404, notFound(exchange.path()));
            return;
        }
        HostsApi view = views.computeIfAbsent(nameAndPath.substring(0, slash), name -> new HostsApi(loop));
        hosts(exchange, view, nameAndPath.substring(slash));
    }

    private void hosts(Exchange exchange, HostsApi list, String path) {
        boolean read = exchange.method().equals("GET");
        if (read) {
            counts.increment("hosts");
        }
        if (read && store.faults().down()) {
            exchange.reset();
        } else {
            list.handle(exchange, path, store.faults().listLagMillis());
        }
    }

    private void weights(Exchange exchange) {
        counts.increment("weights");
        if (store.faults().down()) {
            exchange.reset();
        } else {
            weights.handle(exchange, System.currentTimeMillis());
        }
    }

    private static ObjectNode notFound(String path) {
        return Json.object().put("error", "nothing at " + path);
    }
}
