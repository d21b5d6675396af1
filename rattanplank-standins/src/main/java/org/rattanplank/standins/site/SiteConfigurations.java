package org.rattanplank.standins.site;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/** Configurations in the deployment platform's format for the demo and tests. Stateless and thread safe. */
public final class SiteConfigurations {
    /** The host name that callers address. */
    public static final String HOST_NAME = "desk.example";

    /** The path prefix of drafts, which are resumable streams. */
    public static final String DRAFTS = "/drafts/";

    /** The path prefix of bookings, which must not be executed more than once. */
    public static final String BOOKINGS = "/bookings/";

    /** The service that serves drafts. */
    public static final String WRITER = "writer";

    /** The service that serves bookings. */
    public static final String DESK = "desk";

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
                .add(route("drafts", DRAFTS, "streaming", WRITER, 2).put("resumable", true))
                .add(route("bookings", BOOKINGS, "unsafe", DESK, 1));
        configuration
                .putArray("services")
                .add(Json.object().put("name", WRITER).put("max_conns", 100))
                .add(Json.object().put("name", DESK).put("max_conns", 100));
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
