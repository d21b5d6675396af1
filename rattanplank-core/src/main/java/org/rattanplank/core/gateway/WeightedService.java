package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * A service and its share of a route's requests. Immutable and thread safe.
 *
 * @param service the service
 * @param weight its share, relative to the weights beside it; never negative
 */
public record WeightedService(String service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("negative weight: " + weight);
        }
    }
}
