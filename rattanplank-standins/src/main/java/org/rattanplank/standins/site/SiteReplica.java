package org.rattanplank.standins.site;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * Stand-in of a replica of a service: it registers itself in the store, executes only requests that are addressed to it,
 * and responds with a single body or a resumable stream. Not thread safe: confined to its event loop.
 */
public final class SiteReplica {
    private static final int STATUS_OK = 200;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    /** The number of events of a complete stream. */
    public static final int EVENT_COUNT = 5;

    private static final long EVENT_INTERVAL_MILLIS = 20;

    private final EventLoop loop;
    private final String id;
    private final boolean streams;
    private final Consumer<String> executionListener;
    private final HeaderNames headerNames = PlatformHeaders.names();

    private SiteReplica(EventLoop loop, String id, boolean streams, Consumer<String> executionListener) {
        this.loop = loop;
        this.id = id;
        this.streams = streams;
        this.executionListener = executionListener;
    }

    /**
     * Starts serving a replica.
     *
     * @param loop the event loop that serves it
     * @param id the replica's identifier
     * @param streams whether it responds with streams
     * @param executionListener called with the identifier of each request that it executes
     * @return the address that is served
     */
    public static InetSocketAddress serve(
            EventLoop loop, String id, boolean streams, Consumer<String> executionListener) {
        return loop.serve(0, new SiteReplica(loop, id, streams, executionListener)::handle);
    }

    /**
     * Runs a replica until the process is terminated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = serve(EventLoop.of(), options.id, options.streams, requestId -> {});
        SiteStoreClient.of(options.store)
                .registerTarget(options.id, options.service, Addresses.format(address), options.dataCentre);
        System.out.println("replica ready id=" + options.id + " address=" + Addresses.format(address));
    }

    private void handle(Exchange exchange) {
        String expectedId = exchange.header(headerNames.expectedTarget()).getOrElse(id);
        String requestId = exchange.header(headerNames.requestId()).getOrElse("");
        Map<String, String> echo = Map.of(headerNames.requestId(), requestId);
        if (!expectedId.equals(id)) {
            exchange.respond(STATUS_MISDIRECTED_REQUEST, echo, Json.object());
            return;
        }
        executionListener.accept(requestId);
        if (streams) {
            exchange.startStream("text/event-stream", echo);
            sendEvent(
                    exchange,
                    requestId,
                    exchange.header(headerNames.lastEventId())
                                    .map(Integer::parseInt)
                                    .getOrElse(0)
                            + 1);
        } else {
            exchange.respond(STATUS_OK, echo, Json.object().put("by", id).put("for", requestId));
        }
    }

    private void sendEvent(Exchange exchange, String requestId, int number) {
        if (!exchange.isOpen()) {
            return;
        }
        if (number > EVENT_COUNT) {
            exchange.endStream();
            return;
        }
        exchange.sendChunk("id: " + number + "\ndata: line " + number + " for " + requestId + " by " + id + "\n\n");
        loop.schedule(EVENT_INTERVAL_MILLIS, () -> sendEvent(exchange, requestId, number + 1));
    }

    /** The options. Written by JCommander before any thread reads them, constant afterwards. */
    private static final class Options {
        @Parameter(names = "--store", description = "the store's address", required = true)
        private String store;

        @Parameter(names = "--id", description = "the replica's identifier", required = true)
        private String id;

        @Parameter(names = "--service", description = "the replica's service", required = true)
        private String service;

        @Parameter(names = "--data-centre", description = "the replica's data centre", required = true)
        private String dataCentre;

        @Parameter(names = "--streams", description = "respond with streams")
        private boolean streams;
    }
}
