package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * A part of a route's requests and the service that gets it. Immutable and thread safe.
 *
 * @param service the service
 * @param weight its part, relative to the weights beside it; never negative
 */
public record WeightedService(String service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("a weight is negative: " + weight);
        }
    }
}
