package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Waits until a generation is in force at all entry hosts and prints the progress of each region. Confined to one thread. */
final class GenerationWaiter {
    private static final long POLL_MILLIS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OperatorsClient operators;
    private final Console console;
    private final ObjectNode json;
    private final Map<String, String> lastShownByRegion = new HashMap<>();

    GenerationWaiter(OperatorsClient operators, Console console, ObjectNode json) {
        this.operators = operators;
        this.console = console;
        this.json = json;
    }

    Report await(long generation, long waitMillis) {
        long startNanos = System.nanoTime();
        List<HostStatus> statuses = operators.statuses();
        showProgress(statuses, generation);
        while (!allHaveGeneration(statuses, generation)
                && System.nanoTime() - startNanos < waitMillis * NANOS_PER_MILLI
                && !Thread.currentThread().isInterrupted()) {
            Pause.millis(POLL_MILLIS);
            statuses = operators.statuses();
            showProgress(statuses, generation);
        }
        return report(statuses, generation);
    }

    private static boolean allHaveGeneration(List<HostStatus> statuses, long generation) {
        return statuses.stream().allMatch(status -> status.hasGeneration(generation));
    }

    private void showProgress(List<HostStatus> statuses, long generation) {
        Map<String, List<HostStatus>> regions = new TreeMap<>();
        statuses.forEach(status -> regions.computeIfAbsent(status.region(), region -> new ArrayList<>())
                .add(status));
        regions.forEach((region, hosts) -> {
            long upToDate = hosts.stream()
                    .filter(host -> host.hasGeneration(generation))
                    .count();
            String line = region + ": " + upToDate + " of " + hosts.size() + " hosts at generation " + generation;
            if (!line.equals(lastShownByRegion.put(region, line))) {
                console.progress(line);
            }
        });
    }

    private Report report(List<HostStatus> statuses, long generation) {
        List<String> outdated = statuses.stream()
                .filter(status -> !status.hasGeneration(generation))
                .map(HostStatus::host)
                .toList();
        json.put("inForce", outdated.isEmpty());
        outdated.forEach(json.putArray("notInForceAt")::add);
        if (outdated.isEmpty()) {
            return Report.of(
                    ExitCode.DONE, List.of("generation " + generation + " is in force at every entry host"), json);
        }
        ExitCode code = statuses.stream().anyMatch(HostStatus::reachable) ? ExitCode.REFUSED : ExitCode.UNREACHABLE;
        String line = "generation " + generation + " is not in force at " + String.join(", ", outdated);
        return Report.of(code, List.of(line), json);
    }
}
