package org.rattanplank.standins.site;

import com.fasterxml.jackson.databind.node.ArrayNode;
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

    /** The path prefix of questions, streams of a model engine that must not run again. */
    public static final String QUESTIONS_PREFIX = "/questions/";

    /** The path prefix of lookups, which may be executed more than once. */
    static final String LOOKUPS_PREFIX = "/lookups/";

    /** The path prefix of reports, streams of a service that only one region has. */
    static final String REPORTS_PREFIX = "/reports/";

    /** The path prefix of audits, single responses of a service that only another region has. */
    static final String AUDITS_PREFIX = "/audits/";

    /** The client account without a limit. */
    public static final String UNLIMITED_ACCOUNT = "brewers";

    /** The client account with an allowance. */
    public static final String LIMITED_ACCOUNT = "fitters";

    /** The key of the account without a limit. */
    public static final String UNLIMITED_KEY = "key-of-brewers";

    /** A key of the same account that a later configuration no longer has. */
    public static final String REMOVED_KEY = "removed-key-of-brewers";

    /** The key of the account with an allowance. */
    public static final String LIMITED_KEY = "key-of-fitters";

    /** The rate and the burst of the allowance. */
    public static final int LIMITED_TOKENS_PER_SECOND = 2_000;

    /** The tokens that a request counts which states none. */
    public static final int PLAIN_TOKENS = 200;

    private static final String REPORTER_SERVICE = "reporter";
    private static final String AUDITOR_SERVICE = "auditor";
    private static final int MAX_CONNECTIONS = 100;
    private static final int ENGINE_SLOTS = 16;
    private static final int ENGINE_TOKENS = 100_000;
    private static final int EVENT_TOKENS = 5;

    /** The time that a request of any route may take. */
    public static final int ROUTE_TIMEOUT_MILLIS = 5_000;

    private SiteConfigurations() {}

    /**
     * Returns a configuration with one route for drafts and one for bookings.
     *
     * @param version the configuration's version
     * @return the configuration
     */
    public static ObjectNode of(long version) {
        return of(version, service(WRITER_SERVICE));
    }

    private static ObjectNode of(long version, ObjectNode writer) {
        ObjectNode configuration = Json.object().put("version", version);
        configuration
                .putArray("routes")
                .add(route("drafts", DRAFTS_PREFIX, "streaming", WRITER_SERVICE, 2)
                        .put("resumable", true))
                .add(route("bookings", BOOKINGS_PREFIX, "unsafe", DESK_SERVICE, 1));
        configuration.putArray("services").add(writer).add(service(DESK_SERVICE));
        configuration.putObject("limits");
        return configuration;
    }

    /**
     * Adds client accounts to a configuration: one without a limit, and one with an allowance. All requests then need a key.
     *
     * @param configuration the configuration
     * @param withRemovedKey whether the first account still has the key that is removed later
     * @return the same configuration
     */
    public static ObjectNode withAccounts(ObjectNode configuration, boolean withRemovedKey) {
        ObjectNode unlimited = Json.object().put("name", UNLIMITED_ACCOUNT);
        ArrayNode keys = unlimited.putArray("api_keys").add(UNLIMITED_KEY);
        if (withRemovedKey) {
            keys.add(REMOVED_KEY);
        }
        ObjectNode limited = Json.object()
                .put("name", LIMITED_ACCOUNT)
                .put("unit", "tokens")
                .put("plain_tokens", PLAIN_TOKENS)
                .put("rate_per_s", LIMITED_TOKENS_PER_SECOND)
                .put("burst", LIMITED_TOKENS_PER_SECOND);
        limited.putArray("api_keys").add(LIMITED_KEY);
        configuration.putArray("tenants").add(unlimited).add(limited);
        return configuration;
    }

    /**
     * Adds a route for questions to a configuration.
     *
     * @param configuration the configuration
     * @return the same configuration
     */
    public static ObjectNode withQuestions(ObjectNode configuration) {
        configuration.withArray("routes").add(route("questions", QUESTIONS_PREFIX, "streaming", WRITER_SERVICE, 1));
        return configuration;
    }

    /**
     * Returns a configuration with all kinds of routes: streams of model engines, which may be resumed or not, single
     * responses, and services that only one region has, so that requests are forwarded.
     *
     * @param version the configuration's version
     * @return the configuration
     */
    public static ObjectNode allKindsOf(long version) {
        ObjectNode writer = service(WRITER_SERVICE);
        writer.putObject("engine")
                .put("slots", ENGINE_SLOTS)
                .put("stride", EVENT_TOKENS)
                .put("kv_capacity_tokens", ENGINE_TOKENS)
                .put("backups", true);
        ObjectNode configuration = of(version, writer);
        withQuestions(configuration)
                .withArray("routes")
                .add(route("lookups", LOOKUPS_PREFIX, "safe", DESK_SERVICE, 2))
                .add(route("reports", REPORTS_PREFIX, "streaming", REPORTER_SERVICE, 2)
                        .put("resumable", true))
                .add(route("audits", AUDITS_PREFIX, "unsafe", AUDITOR_SERVICE, 1));
        configuration.withArray("services").add(service(REPORTER_SERVICE)).add(service(AUDITOR_SERVICE));
        return configuration;
    }

    private static ObjectNode service(String name) {
        return Json.object().put("name", name).put("max_conns", MAX_CONNECTIONS);
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
