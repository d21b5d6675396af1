package org.rattanplank.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * The weight store, which runs one transfer at a time at a bounded rate. Not thread safe: confined to the platform's thread.
 */
final class WeightsApi {
    private static final String PREFIX = "/weights/";

    private final EventLoop loop;
    private final long transferMillis;
    private long freeAtMillis;

    WeightsApi(EventLoop loop, long transferMillis) {
        this.loop = loop;
        this.transferMillis = transferMillis;
    }

    static boolean handlesPath(String path) {
        return path.startsWith(PREFIX);
    }

    void handle(Exchange exchange, long nowMillis) {
        String model = exchange.path().substring(PREFIX.length());
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + transferMillis;
        ObjectNode response = Json.object().put("model", model).put("transferMillis", transferMillis);
        loop.schedule(freeAtMillis - nowMillis, () -> exchange.respond(200, response));
    }
}
