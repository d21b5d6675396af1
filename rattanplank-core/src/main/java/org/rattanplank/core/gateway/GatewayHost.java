package org.rattanplank.core.gateway;

import java.util.Objects;

import org.rattanplank.core.host.Place;

/**
 * An entry host as it enters itself in the store. Immutable and thread safe.
 *
 * @param name its name
 * @param incarnation the identifier of this run of its process
 * @param place where it stands
 * @param callerAddress where callers reach it, IP:PORT
 * @param peerAddress where other hosts reach it, IP:PORT
 */
public record GatewayHost(String name, long incarnation, Place place, String callerAddress, String peerAddress) {
    public GatewayHost {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
