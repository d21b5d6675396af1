package org.rattanplank.core.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A route: which requests it takes and how they are served. Immutable and thread safe.
 *
 * @param name its name, unique in a configuration
 * @param hostName the name that callers address, in lower case
 * @param pathPrefix the start of the paths that it takes
 * @param kind what its requests are
 * @param resumable whether its streams may go on at another target
 * @param services where its requests go; those of weight 0 get none
 * @param maxAttempts the most targets that one request may be sent to
 * @param timeoutMillis the longest time until its final answer
 * @param objectiveMillis the time to the answer, of a stream to the first event, that callers hope for
 * @param gapMillis the longest pause between events that callers hope for, zero if it isn't a stream
 * @param rank its rank among the routes, 0 first
 * @param homeRegions the only regions that may serve it; empty if all may
 */
public record RouteRule(
        String name,
        String hostName,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        List<WeightedService> services,
        int maxAttempts,
        long timeoutMillis,
        long objectiveMillis,
        long gapMillis,
        int rank,
        Set<String> homeRegions) {
    /** No region has this name: the home of a route that no region may serve. */
    static final String NO_REGION = "";

    public RouteRule {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(hostName, "hostName");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
        homeRegions = Set.copyOf(homeRegions);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        if (maxAttempts < 1 || timeoutMillis <= 0) {
            throw new IllegalArgumentException("route " + name + " allows no attempt or no time");
        }
    }

    /**
     * Tells whether a request of this route may run more than once.
     *
     * @return whether it may
     */
    public boolean isIdempotent() {
        return kind.isIdempotent(resumable);
    }

    /**
     * Tells whether a region may serve this route.
     *
     * @param region the region
     * @return whether it may
     */
    public boolean allows(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }

    /**
     * Narrows the regions that may serve it.
     *
     * @param regions the regions that a further rule allows
     * @return the route, which both rules bind; if no region satisfies both, none may serve it
     */
    public RouteRule within(Set<String> regions) {
        Set<String> both = new HashSet<>(homeRegions.isEmpty() ? regions : homeRegions);
        both.retainAll(regions);
        return new RouteRule(
                name,
                hostName,
                pathPrefix,
                kind,
                resumable,
                services,
                maxAttempts,
                timeoutMillis,
                objectiveMillis,
                gapMillis,
                rank,
                both.isEmpty() ? Set.of(NO_REGION) : both);
    }

    /**
     * Picks the service of one request by the weights.
     *
     * @param draw a number from 0 up to, but not including, 1
     * @return the service
     */
    public String service(double draw) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService each : services) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return services.get(0).service();
    }
}
