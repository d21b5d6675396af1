package org.rattanplank.core.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.rattanplank.core.account.GatewayAccount;

/**
 * A route: the requests that it matches and how they are served. Immutable and thread safe.
 *
 * @param name its name, unique in a configuration
 * @param hostName the host name of its requests, in lower case
 * @param pathPrefix the prefix of the paths that it matches
 * @param kind the kind of its requests
 * @param resumable whether its streams may be resumed at another target
 * @param services the services of its requests; those of weight 0 get none
 * @param maxAttempts the maximum number of targets that one request may be sent to
 * @param timeoutMillis the maximum time until its final answer
 * @param objectiveMillis the latency objective: the time to the answer, of a stream to the first event
 * @param gapObjectiveMillis the objective for the longest pause between events, zero if it isn't a stream
 * @param rank its rank among the routes, 0 first
 * @param homeRegions the only regions that may serve it; empty if all may
 * @param isPublic whether its requests need no client account
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
        long gapObjectiveMillis,
        int rank,
        Set<String> homeRegions,
        boolean isPublic) {
    /** The name of no region: the home of a route that no region may serve. */
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
            throw new IllegalArgumentException("route " + name + " needs at least one attempt and a positive timeout");
        }
    }

    /**
     * Returns whether a request of this route may run more than once.
     *
     * @return whether it may
     */
    public boolean isIdempotent() {
        return kind.isIdempotent(resumable);
    }

    /**
     * Returns whether a region may serve this route.
     *
     * @param region the region
     * @return whether it may
     */
    public boolean allows(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }

    /**
     * Restricts the regions that may serve it.
     *
     * @param regions the regions that a further rule allows
     * @return the route with both rules applied; if no region satisfies both, none may serve it
     */
    public RouteRule restrictedTo(Set<String> regions) {
        Set<String> common = new HashSet<>(homeRegions.isEmpty() ? regions : homeRegions);
        common.retainAll(regions);
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
                gapObjectiveMillis,
                rank,
                common.isEmpty() ? Set.of(NO_REGION) : common,
                isPublic);
    }

    /**
     * Restricts the regions that may serve it to the homes of a client account.
     *
     * @param account the account
     * @return the route for requests of the account
     */
    public RouteRule of(GatewayAccount account) {
        return account.homeRegions().isEmpty() ? this : restrictedTo(account.homeRegions());
    }

    /**
     * Picks the service of one request by weight.
     *
     * @param draw a number from 0 up to, but not including, 1
     * @return the service
     */
    public String pickService(double draw) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        double remaining = draw * total;
        for (WeightedService each : services) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return services.get(0).service();
    }
}
