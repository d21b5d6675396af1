package org.rattanplank.core.member;

import java.util.Objects;

/**
 * An entry host as reported to callers. Immutable and thread safe.
 *
 * @param host the host's name
 * @param region the host's region
 * @param dataCentre the host's data centre
 * @param address the IP address
 * @param port the port for callers
 */
public record EntryHost(String host, String region, String dataCentre, String address, int port) {
    public EntryHost {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
    }
}
