package org.rattanplank.core;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rattanplank.core.host.Location;

/**
 * The identity of an entry host. Immutable and thread safe.
 *
 * @param host the host's name
 * @param incarnation the process's start time in milliseconds; a later start of the same host has a higher one
 * @param location the host's region and data centre
 */
public record NodeIdentity(String host, long incarnation, @JsonProperty("place") Location location) {
    public NodeIdentity {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(location, "location");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("a node needs a host name");
        }
    }
}
