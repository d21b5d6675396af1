package org.rattanplank.core.member;

import java.util.Objects;

/**
 * An entry host as callers are told of it. Immutable and thread safe.
 *
 * @param host the host's name
 * @param region the region in which it stands
 * @param dataCentre the data centre in which it stands
 * @param address the IP address
 * @param port the port for callers
 */
public record EntryHost(String host, String region, String dataCentre, String address, int port) {
    public EntryHost {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
    }
}
