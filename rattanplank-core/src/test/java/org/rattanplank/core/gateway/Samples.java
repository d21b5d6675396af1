package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

/** Sample targets, routes and services for tests. */
final class Samples {
    static final String MODEL = "drafts";
    static final String PLAIN = "bookings";
    static final ServiceRule MODEL_SERVICE = new ServiceRule(MODEL, 360, 3_000, 2.1, 64, 8, 400_000, true);
    static final ServiceRule PLAIN_SERVICE = new ServiceRule(PLAIN, 96, 0, 0, 0, 0, 0, false);

    private Samples() {}

    static TargetEntry target(String id, String dataCentre, boolean leaving, long coldMillis) {
        return incarnation(id, 0, dataCentre, leaving, coldMillis);
    }

    static TargetEntry incarnation(
            String id, long startedAtMillis, String dataCentre, boolean leaving, long coldMillis) {
        TargetIncarnation incarnation = new TargetIncarnation(id, startedAtMillis);
        return new TargetEntry(incarnation, MODEL, "10.0.0.1", 8080, dataCentre, 64, leaving, coldMillis);
    }

    static RouteRule route(String name, String hostName, String prefix, Set<String> homeRegions) {
        return new RouteRule(
                name,
                hostName,
                prefix,
                RouteKind.STREAM,
                true,
                List.of(new WeightedService(MODEL, 1)),
                2,
                10_000,
                1_000,
                400,
                1,
                homeRegions,
                false);
    }

    static GatewayConfiguration configuration(long version, RouteRule... routes) {
        return GatewayConfiguration.of(
                version, List.of(routes), List.of(MODEL_SERVICE, PLAIN_SERVICE), CallerLimits.DEFAULTS);
    }
}
