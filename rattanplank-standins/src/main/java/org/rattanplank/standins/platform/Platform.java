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
 * Stand-in of the platform: the store, the host list and the weight store on one port.
 *
 * <p>{@code GET /counts}, {@code POST /faults} and updates of the host list work during any fault, as tests use them to
 * control the platform. Under {@code /views/NAME/hosts} it holds further host lists, so that a test can put a link
 * between any two data centres by giving each data centre its own addresses of the other's hosts. Not thread safe:
 * confined to its event loop's thread once it serves.
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
     * Starts serving a platform.
     *
     * @param loop the event loop that serves it
     * @param options its options
     * @return the address that is served
     */
    public static InetSocketAddress serve(EventLoop loop, PlatformOptions options) {
        Platform platform = new Platform(loop, options);
        loop.scheduleAtFixedRate(LEASE_EXPIRY_PERIOD_MILLIS, () -> platform.store.expire(System.currentTimeMillis()));
        return loop.serve(options.port, platform::handle);
    }

    /**
     * Runs the platform until the process is terminated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        PlatformOptions options = new PlatformOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = serve(EventLoop.of(), options);
        System.out.println("platform ready address=" + Addresses.format(address));
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
            handleHosts(exchange, hosts, path);
        } else if (path.startsWith(VIEWS_PREFIX)) {
            handleView(exchange, path.substring(VIEWS_PREFIX.length()));
        } else if (WeightsApi.handlesPath(path)) {
            handleWeights(exchange);
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
        handleHosts(exchange, view, nameAndPath.substring(slash));
    }

    private void handleHosts(Exchange exchange, HostsApi hostList, String path) {
        boolean isRead = exchange.method().equals("GET");
        if (isRead) {
            counts.increment("hosts");
        }
        if (isRead && store.faults().down()) {
            exchange.reset();
        } else {
            hostList.handle(exchange, path, store.faults().listLagMillis());
        }
    }

    private void handleWeights(Exchange exchange) {
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
