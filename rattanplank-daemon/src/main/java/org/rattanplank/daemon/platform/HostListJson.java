package org.rattanplank.daemon.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.gateway.SocketAddresses;

/**
 * Parses the platform's host list. Stateless and thread safe.
 *
 * <p>Invariant: an entry is accepted completely or not at all, and one that is not leaves out no other.
 */
final class HostListJson {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final Map<String, HostRole> ROLES = Map.of("target", HostRole.TARGET, "entry", HostRole.ENTRY);

    private HostListJson() {}

    /**
     * Parses a list.
     *
     * @param body the list
     * @param onIgnored receives the reason for each entry that is left out
     * @return the list, or the reason why it can't be parsed
     */
    static Try<HostList> read(byte[] body, Consumer<String> onIgnored) {
        return Try.of(() -> read(JSON.readTree(body), onIgnored));
    }

    private static HostList read(JsonNode root, Consumer<String> onIgnored) {
        if (!root.path("hosts").isArray()) {
            throw new IllegalArgumentException("a host list must contain the array \"hosts\"");
        }
        List<ListedHost> hosts = new ArrayList<>();
        for (JsonNode entry : root.path("hosts")) {
            Try.of(() -> host(entry))
                    .onFailure(error -> onIgnored.accept(error.getMessage()))
                    .forEach(hosts::add);
        }
        return new HostList(root.path("revision").asLong(), hosts);
    }

    private static ListedHost host(JsonNode entry) {
        HostRole role = ROLES.get(text(entry, "role"));
        if (role == null) {
            throw new IllegalArgumentException("field role has an unknown value");
        }
        String address = text(entry, "address");
        boolean target = role == HostRole.TARGET;
        return new ListedHost(
                text(entry, "name"),
                role,
                Location.of(text(entry, "region"), text(entry, "dataCentre")),
                address,
                port(entry, "port", address),
                target ? 0 : port(entry, "peerPort", address),
                target ? service(entry) : "",
                entry.path("leaving").asBoolean());
    }

    /** Returns the service of a target, which is empty if only its load tells it. */
    private static String service(JsonNode entry) {
        if (!entry.path("service").isTextual()) {
            throw new IllegalArgumentException("field service is missing or not a string");
        }
        return entry.path("service").textValue();
    }

    private static String text(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new IllegalArgumentException("field " + field + " is missing or not a non-empty string");
        }
        return value.textValue();
    }

    private static int port(JsonNode entry, String field, String address) {
        JsonNode value = entry.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw new IllegalArgumentException("field " + field + " is missing or not an integer");
        }
        return SocketAddresses.parse(address + ":" + value.intValue()).getPort();
    }
}
