package org.rattanplank.standins.site;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/** Configurations in the deployment platform's format for the demo and tests. Stateless and thread safe. */
public final class SiteConfigurations {
    /** The host name that callers address. */
    public static final String HOST_NAME = "desk.example";

    /** The path prefix of drafts, which are resumable streams. */
    public static final String DRAFTS_PREFIX = "/drafts/";

    /** The path prefix of bookings, which must not be executed more than once. */
    public static final String BOOKINGS_PREFIX = "/bookings/";

    /** The service that serves drafts. */
    public static final String WRITER_SERVICE = "writer";

    /** The service that serves bookings. */
    public static final String DESK_SERVICE = "desk";

    private static final int ROUTE_TIMEOUT_MILLIS = 5_000;

    private SiteConfigurations() {}

    /**
     * Returns a configuration with one route for drafts and one for bookings.
     *
     * @param version the configuration's version
     * @return the configuration
     */
    public static ObjectNode of(long version) {
        ObjectNode configuration = Json.object().put("version", version);
        configuration
                .putArray("routes")
                .add(route("drafts", DRAFTS_PREFIX, "streaming", WRITER_SERVICE, 2)
                        .put("resumable", true))
                .add(route("bookings", BOOKINGS_PREFIX, "unsafe", DESK_SERVICE, 1));
        configuration
                .putArray("services")
                .add(Json.object().put("name", WRITER_SERVICE).put("max_conns", 100))
                .add(Json.object().put("name", DESK_SERVICE).put("max_conns", 100));
        configuration.putObject("limits");
        return configuration;
    }

    private static ObjectNode route(String name, String prefix, String routeType, String service, int maxAttempts) {
        return Json.object()
                .put("name", name)
                .put("hostname", HOST_NAME)
                .put("prefix", prefix)
                .put("route_type", routeType)
                .put("timeout_ms", ROUTE_TIMEOUT_MILLIS)
                .put("target_latency_ms", ROUTE_TIMEOUT_MILLIS / 2)
                .put("priority", 1)
                .put("backend", service)
                .put("max_attempts", maxAttempts);
    }
}
