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
 * A replica of the users' services, as a stand-in: it enters itself in the store, runs only what is meant for it, and
 * answers plainly or by a stream that may be resumed. Not thread safe: confined to its event loop.
 */
public final class SiteReplica {
    private static final int STATUS_OK = 200;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    /** How many events a whole stream has. */
    public static final int EVENTS = 5;

    private static final long EVENT_INTERVAL_MILLIS = 20;

    private final EventLoop loop;
    private final String id;
    private final boolean streams;
    private final Consumer<String> executionListener;
    private final HeaderNames headerNames = PlatformHeaders.names();

    private SiteReplica(EventLoop loop, String id, boolean streams, Consumer<String> ran) {
        this.loop = loop;
        this.id = id;
        this.streams = streams;
        this.executionListener = ran;
    }

    /**
     * Serves a replica.
     *
     * @param loop the loop that serves it
     * @param id its identifier
     * @param streams whether it answers by streams
     * @param ran told the identifier of each request that it runs
     * @return its address
     */
    public static InetSocketAddress serve(EventLoop loop, String id, boolean streams, Consumer<String> ran) {
        return loop.serve(0, new SiteReplica(loop, id, streams, ran)::handle);
    }

    /**
     * Runs a replica until the process is ended.
     *
     * @param args the settings
     */
    public static void main(String[] args) {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = serve(EventLoop.of(), options.id, options.streams, requestId -> {});
        SiteStoreClient.of(options.store)
                .enterTarget(options.id, options.service, Addresses.write(address), options.dataCentre);
        System.out.println("replica ready id=" + options.id + " address=" + Addresses.write(address));
    }

    private void handle(Exchange exchange) {
        String expected = exchange.header(headerNames.expectedTarget()).getOrElse(id);
        String requestId = exchange.header(headerNames.requestId()).getOrElse("");
        Map<String, String> echo = Map.of(headerNames.requestId(), requestId);
        if (!expected.equals(id)) {
            exchange.respond(STATUS_MISDIRECTED_REQUEST, echo, Json.object());
            return;
        }
        executionListener.accept(requestId);
        if (streams) {
            exchange.startStream("text/event-stream", echo);
            sendEvent(
                    exchange,
                    requestId,
                    exchange.header(headerNames.lastEventId()).map(Integer::parseInt).getOrElse(0) + 1);
        } else {
            exchange.respond(STATUS_OK, echo, Json.object().put("by", id).put("for", requestId));
        }
    }

    private void sendEvent(Exchange exchange, String requestId, int number) {
        if (!exchange.isOpen()) {
            return;
        }
        if (number > EVENTS) {
            exchange.endStream();
            return;
        }
        exchange.sendChunk("id: " + number + "\ndata: line " + number + " for " + requestId + " by " + id + "\n\n");
        loop.schedule(EVENT_INTERVAL_MILLIS, () -> sendEvent(exchange, requestId, number + 1));
    }

    /** The settings. Written by JCommander before any thread reads them, then left alone. */
    private static final class Options {
        @Parameter(names = "--store", description = "the store's address", required = true)
        private String store;

        @Parameter(names = "--id", description = "the replica's identifier", required = true)
        private String id;

        @Parameter(names = "--service", description = "the service that it belongs to", required = true)
        private String service;

        @Parameter(names = "--data-centre", description = "where it stands", required = true)
        private String dataCentre;

        @Parameter(names = "--streams", description = "answer by streams")
        private boolean streams;
    }
}
