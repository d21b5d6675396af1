package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Shows the status that the entry hosts of each region report. Run once by one thread. */
@Parameters(commandDescription = "show generation, hosts, targets and leaving hosts and targets of each region")
final class StatusCommand extends Command {
    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        return connectionOptions.operators(console).fold(failure -> failure, operators -> report(operators.statuses()));
    }

    private static Report report(List<HostStatus> statuses) {
        List<String> lines = new ArrayList<>();
        ObjectNode json = JsonHttpClient.JSON.createObjectNode();
        ArrayNode regions = json.putArray("regions");
        Map<String, List<HostStatus>> byRegion = new TreeMap<>();
        statuses.forEach(status -> byRegion.computeIfAbsent(status.region(), region -> new ArrayList<>())
                .add(status));
        byRegion.forEach((region, hosts) -> {
            lines.add("region " + region);
            hosts.forEach(host -> lines.add(hostLine(host)));
            lines.addAll(targetLines(hosts));
            ObjectNode node = regions.addObject().put("region", region);
            ArrayNode array = node.putArray("hosts");
            hosts.forEach(host -> array.add(hostJson(host)));
        });
        return Report.of(code(statuses), lines, json);
    }

    private static ExitCode code(List<HostStatus> statuses) {
        return statuses.stream().anyMatch(HostStatus::reachable) ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static String hostLine(HostStatus host) {
        if (!host.reachable()) {
            return "  host " + host.address() + " gives no status";
        }
        JsonNode json = host.json();
        return "  host " + host.host() + " in " + host.dataCentre() + ": generation " + host.generation() + ", view "
                + json.path("viewNumber").asLong() + ", in flight "
                + json.path("inFlight").asLong()
                + (json.path("draining").asBoolean() ? ", draining" : "");
    }

    private static List<String> targetLines(List<HostStatus> hosts) {
        Map<String, String> targets = new TreeMap<>();
        TreeSet<String> leaving = new TreeSet<>();
        for (HostStatus host : hosts) {
            Map<String, JsonNode> loads = new TreeMap<>();
            host.json()
                    .path("loads")
                    .forEach(load -> loads.put(load.path("target").asText(), load));
            host.json().path("targets").forEach(target -> {
                String name = target.path("name").asText();
                targets.putIfAbsent(name, targetLine(target, loads.getOrDefault(name, MissingNode.getInstance())));
            });
            host.json().path("leaving").forEach(name -> leaving.add(name.asText()));
        }
        List<String> lines = new ArrayList<>(targets.values());
        if (!leaving.isEmpty()) {
            lines.add("  leaving: " + String.join(", ", leaving));
        }
        return lines;
    }

    private static String targetLine(JsonNode target, JsonNode load) {
        String loadText = load.isObject()
                ? ", running " + load.path("running").asLong() + " of "
                        + load.path("slots").asLong() + ", queued "
                        + load.path("queued").asLong()
                : "";
        return "  target " + target.path("name").asText() + " of "
                + target.path("service").asText() + loadText;
    }

    private static JsonNode hostJson(HostStatus host) {
        return host.reachable()
                ? host.json()
                : JsonHttpClient.JSON
                        .createObjectNode()
                        .put("address", host.address())
                        .put("reached", false);
    }
}
