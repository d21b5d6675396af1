package org.rattanplank.cli;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The status of one entry host. Thread safe as long as the JSON is not modified.
 *
 * @param address the address of its operator port
 * @param reachable whether the host returned its status
 * @param json the status that the host returned, missing if it is unreachable
 */
record HostStatus(String address, boolean reachable, JsonNode json) {
    HostStatus {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(json, "json");
    }

    static HostStatus of(String address, JsonNode json) {
        return new HostStatus(address, true, json);
    }

    static HostStatus unreachable(String address) {
        return new HostStatus(address, false, MissingNode.getInstance());
    }

    String host() {
        return reachable ? json.at("/identity/host").asText() : address;
    }

    String region() {
        return reachable ? json.at("/identity/place/region").asText() : "out of reach";
    }

    String dataCentre() {
        return json.at("/identity/place/dataCentre").asText();
    }

    long generation() {
        return json.path("generation").asLong();
    }

    boolean hasGeneration(long minGeneration) {
        return reachable && generation() >= minGeneration;
    }
}
