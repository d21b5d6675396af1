package org.rattanplank.core.gateway;

import java.util.Objects;
import java.util.Set;

/**
 * What a request needs of the place that serves it. Immutable and thread safe but for its set, which its owner may add to.
 *
 * @param route its route
 * @param service the service that its route chose for it
 * @param work what it asks of a target
 * @param tried the runs of targets and the regions that must not get it
 */
public record Demand(RouteRule route, ServiceRule service, Work work, Set<String> tried) {
    public Demand {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(tried, "tried");
    }
}
