package org.rattanplank.cli;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The status that one entry host gives. Thread safe as long as nobody changes the JSON.
 *
 * @param address its address for operators
 * @param reached whether it answered
 * @param json what it answered
 */
record HostStatus(String address, boolean reached, JsonNode json) {
    HostStatus {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(json, "json");
    }

    static HostStatus of(String address, JsonNode json) {
        return new HostStatus(address, true, json);
    }

    static HostStatus outOfReach(String address) {
        return new HostStatus(address, false, MissingNode.getInstance());
    }

    String host() {
        return reached ? json.at("/identity/host").asText() : address;
    }

    String region() {
        return reached ? json.at("/identity/place/region").asText() : "out of reach";
    }

    String dataCentre() {
        return json.at("/identity/place/dataCentre").asText();
    }

    long generation() {
        return json.path("generation").asLong();
    }

    boolean holds(long wanted) {
        return reached && generation() >= wanted;
    }
}
