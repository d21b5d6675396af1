package org.rattanplank.standins.site;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/** Writes the settings file of one gateway process, as the deployment platform does. Stateless. */
public final class SiteSettings {
    /** How long a host may take to stop. */
    public static final int STOP_GRACE_SECONDS = 8;

    private static final double RETRY_BUDGET_RATIO = 0.2;
    private static final int RETRY_BUDGET_SLACK = 52;
    private static final int RETRY_BUDGET_WINDOW_SECONDS = 10;

    /** The span over which the use of an allowance is summed. */
    public static final int ALLOWANCE_WINDOW_SECONDS = 8;

    /** The fraction by which an allowance may be exceeded in that span. */
    public static final double ALLOWANCE_OVERAGE = 0.1;

    /** The tokens by which it may be exceeded besides. */
    public static final int ALLOWANCE_SLACK_TOKENS = 4_000;

    private static final int MIN_LEASE_TTL_MILLIS = 1_000;

    private SiteSettings() {}

    /**
     * Writes a settings file.
     *
     * @param args the command-line options
     * @throws IOException if a file can't be read or written
     */
    public static void main(String[] args) throws IOException {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        SiteHost host = new SiteHost(
                options.name,
                options.region,
                List.of(options.regions.split(",")),
                options.ip,
                options.port,
                options.store);
        write(Path.of(options.template), Path.of(options.output), host);
    }

    /**
     * Writes the settings file of a host.
     *
     * @param template the template
     * @param output the file to write
     * @param host the host
     * @throws IOException if a file can't be read or written
     */
    public static void write(Path template, Path output, SiteHost host) throws IOException {
        Files.writeString(output, SettingsTemplate.fill(Files.readString(template), values(host)));
    }

    private static ObjectNode values(SiteHost host) {
        ObjectNode values = Json.object()
                .put("node_name", host.name())
                .put("ip", host.ip())
                .put("zone", host.region() + "-hall")
                .put("region", host.region());
        ObjectNode zones = values.putObject("zones");
        host.regions().forEach(region -> zones.put(region + "-hall", region));
        values.putObject("listen")
                .put("front", host.ip() + ":" + host.port())
                .put("ready", host.ip() + ":" + (host.port() + 1))
                .put("directory", host.ip() + ":" + (host.port() + 2));
        values.putArray("port_range").add(host.port() + 3).add(host.port() + 4);
        values.putObject("bounds")
                .put("grace_s", STOP_GRACE_SECONDS)
                .put("retry_budget_ratio", RETRY_BUDGET_RATIO)
                .put("retry_budget_slack", RETRY_BUDGET_SLACK)
                .put("budget_window_s", RETRY_BUDGET_WINDOW_SECONDS)
                .put("quota_window_s", ALLOWANCE_WINDOW_SECONDS)
                .put("quota_overage", ALLOWANCE_OVERAGE)
                .put("quota_slack", ALLOWANCE_SLACK_TOKENS);
        values.putObject("provider").put("address", host.store()).put("ttl_min_ms", MIN_LEASE_TTL_MILLIS);
        return values;
    }

    /** The options. Written by JCommander before any thread reads them, constant afterwards. */
    private static final class Options {
        @Parameter(names = "--template", description = "the template", required = true)
        private String template;

        @Parameter(names = "--output", description = "the file to write", required = true)
        private String output;

        @Parameter(names = "--name", description = "the host's name", required = true)
        private String name;

        @Parameter(names = "--region", description = "the host's region", required = true)
        private String region;

        @Parameter(names = "--regions", description = "all regions, separated by commas", required = true)
        private String regions;

        @Parameter(names = "--ip", description = "the host's address on the loopback network", required = true)
        private String ip;

        @Parameter(names = "--port", description = "the first of five ports", required = true)
        private int port;

        @Parameter(names = "--store", description = "the store's address", required = true)
        private String store;
    }
}
