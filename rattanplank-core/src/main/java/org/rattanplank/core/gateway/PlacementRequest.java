package org.rattanplank.core.gateway;

import java.util.Objects;
import java.util.Set;

/**
 * A request to be placed, with its route and service. Immutable and thread safe but for its set, which its owner may
 * add to.
 *
 * @param route its route
 * @param service the service that its route chose for it
 * @param work the work that it brings to a target
 * @param excluded the target incarnations and the regions that must not get it
 */
public record PlacementRequest(RouteRule route, ServiceRule service, Work work, Set<String> excluded) {
    public PlacementRequest {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(excluded, "tried");
    }
}
