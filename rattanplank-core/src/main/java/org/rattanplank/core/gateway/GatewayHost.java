package org.rattanplank.core.gateway;

import java.util.Objects;

import org.rattanplank.core.host.Location;

/**
 * An entry host as registered in the store. Immutable and thread safe.
 *
 * @param name its name
 * @param incarnation the identifier of this incarnation of its process
 * @param location its location
 * @param callerAddress the address for callers, IP:PORT
 * @param peerAddress the address for other hosts, IP:PORT
 */
public record GatewayHost(String name, long incarnation, Location location, String callerAddress, String peerAddress) {
    public GatewayHost {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(location, "location");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
