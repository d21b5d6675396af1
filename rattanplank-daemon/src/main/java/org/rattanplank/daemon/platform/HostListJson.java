package org.rattanplank.daemon.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;

/** Parses the platform's host list. Stateless and thread safe. */
final class HostListJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private HostListJson() {}

    static Try<HostList> read(byte[] body) {
        return Try.of(() -> read(JSON.readTree(body)));
    }

    private static HostList read(JsonNode root) {
        List<ListedHost> hosts = new ArrayList<>();
        for (JsonNode host : root.path("hosts")) {
            hosts.add(new ListedHost(
                    host.path("name").asText(),
                    "target".equals(host.path("role").asText()) ? HostRole.TARGET : HostRole.ENTRY,
                    Location.of(
                            host.path("region").asText(),
                            host.path("dataCentre").asText()),
                    host.path("address").asText(),
                    host.path("port").asInt(),
                    host.path("peerPort").asInt(),
                    host.path("service").asText(),
                    host.path("leaving").asBoolean()));
        }
        return new HostList(root.path("revision").asLong(), hosts);
    }
}
