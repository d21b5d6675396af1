package org.rattanplank.daemon.operator;

import java.net.InetAddress;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.Node;
import org.rattanplank.daemon.runtime.MillisClock;
import org.tinylog.Logger;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** HTTP server for operators: status, explanations of requests, draining and metrics. Thread safe. */
public final class OperatorServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final String JSON_TYPE = "application/json";

    private final Node node;
    private final Runnable drain;
    private final MillisClock clock;
    private final java.util.function.Supplier<String> metrics;
    private Option<RatpackServer> server = Option.none();

    /**
     * Creates a server that is not open yet.
     *
     * @param node the node
     * @param drain starts a graceful stop
     * @param clock the clock
     * @param metrics supplies the metrics in Prometheus text format
     */
    public OperatorServer(Node node, Runnable drain, MillisClock clock, java.util.function.Supplier<String> metrics) {
        this.node = node;
        this.drain = drain;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Opens the port.
     *
     * @param address the IP address
     * @param port the port, or zero for any free port
     * @return the bound port, or the error if it cannot be opened
     */
    public Try<Integer> open(String address, int port) {
        return Try.of(() -> {
            ServerConfig config = ServerConfig.builder()
                    .address(InetAddress.getByName(address))
                    .port(port)
                    .threads(1)
                    .development(false)
                    .registerShutdownHook(false)
                    .build();
            RatpackServer started =
                    RatpackServer.of(spec -> spec.serverConfig(config).handlers(this::addHandlers));
            started.start();
            server = Option.some(started);
            return started.getBindPort();
        });
    }

    @Override
    public void close() {
        server.forEach(open -> Try.run(open::stop));
    }

    private void addHandlers(Chain chain) throws Exception {
        chain.get("status", context -> send(context, node.status()))
                .get("explain/:id", this::explain)
                .get("entry-hosts", context -> send(context, node.entryHosts("", clock.nowMillis())))
                .get("metrics", context -> context.getResponse().send("text/plain; version=0.0.4", metrics.get()))
                .post("drain", this::drain);
    }

    private void explain(Context context) {
        String requestId = context.getPathTokens().get("id");
        node.explain(requestId).peek(explanation -> send(context, explanation)).onEmpty(() -> {
            context.getResponse().status(NOT_FOUND);
            send(context, Map.of("reason", "the request is not among the most recent requests of this host"));
        });
    }

    private void drain(Context context) {
        Logger.info("operator: graceful stop requested");
        drain.run();
        context.getResponse().status(ACCEPTED);
        send(context, Map.of("draining", true));
    }

    private static void send(Context context, Object value) {
        byte[] body = Try.of(() -> JSON.writeValueAsBytes(value))
                .onFailure(error -> Logger.error(error, "operator: cannot serialize a response"))
                .getOrElse(new byte[0]);
        context.getResponse().send(JSON_TYPE, body);
    }
}
