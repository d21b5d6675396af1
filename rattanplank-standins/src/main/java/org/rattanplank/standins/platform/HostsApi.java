package org.rattanplank.standins.platform;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * The host list, which shows a change only after a lag. Not thread safe: confined to the platform's thread.
 *
 * <p>Invariant: the visible revision never decreases while the lag is constant.
 */
final class HostsApi {
    private static final String PATH = "/hosts";

    private final EventLoop loop;
    private final Map<String, JsonNode> hosts = new TreeMap<>();
    private long revision;
    private ObjectNode visibleList = Json.object().put("revision", 0).set("hosts", Json.array());

    HostsApi(EventLoop loop) {
        this.loop = loop;
    }

    static boolean handlesPath(String path) {
        return path.equals(PATH) || path.startsWith(PATH + "/");
    }

    void handle(Exchange exchange, String path, long lagMillis) {
        String name = path.substring(PATH.length()).replaceFirst("^/", "");
        switch (exchange.method()) {
            case "GET" -> exchange.respond(200, visibleList);
            case "PUT" -> {
                ObjectNode host = Json.object().put("name", name);
                exchange.jsonBody().fields().forEachRemaining(field -> host.set(field.getKey(), field.getValue()));
                hosts.put(name, host);
                respondAndPublish(exchange, lagMillis);
            }
            case "DELETE" -> {
                hosts.remove(name);
                respondAndPublish(exchange, lagMillis);
            }
            default -> exchange.respond(405, Json.object().put("error", "no such method"));
        }
    }

    private void respondAndPublish(Exchange exchange, long lagMillis) {
        revision++;
        ArrayNode all = Json.array();
        hosts.values().forEach(all::add);
        ObjectNode newList = Json.object().put("revision", revision).set("hosts", all);
        if (lagMillis > 0) {
            loop.schedule(lagMillis, () -> publish(newList));
        } else {
            publish(newList);
        }
        exchange.respond(200, Json.object().put("revision", revision));
    }

    private void publish(ObjectNode newList) {
        if (newList.path("revision").asLong() > visibleList.path("revision").asLong()) {
            visibleList = newList;
        }
    }
}
