package org.rattanplank.core.host;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A host in the platform's host list. Immutable and thread safe.
 *
 * @param name the host's name, unique over all hosts
 * @param role the host's role
 * @param location the host's location
 * @param address the IP address
 * @param port the port for callers of an entry host, or the port of a target
 * @param peerPort the port for other entry hosts, zero for a target
 * @param service the service that a target runs, empty for an entry host
 * @param leaving whether the platform is about to remove the host
 */
public record ListedHost(
        String name,
        HostRole role,
        @JsonProperty("place") Location location,
        String address,
        int port,
        int peerPort,
        String service,
        boolean leaving) {
    public ListedHost {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(location, "location");
        Objects.requireNonNull(address, "address");
        service = Objects.requireNonNullElse(service, "");
    }

    /**
     * Returns whether this host is a target.
     *
     * @return whether the host runs requests
     */
    public boolean isTarget() {
        return role == HostRole.TARGET;
    }
}
