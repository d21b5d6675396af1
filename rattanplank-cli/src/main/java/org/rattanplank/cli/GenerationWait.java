package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Waits until a generation is in force at all entry hosts, with a line for each region's progress. One thread only. */
final class GenerationWait {
    private static final long POLL_MILLIS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OperatorsClient operators;
    private final Console console;
    private final ObjectNode json;
    private final Map<String, String> shown = new HashMap<>();

    GenerationWait(OperatorsClient operators, Console console, ObjectNode json) {
        this.operators = operators;
        this.console = console;
        this.json = json;
    }

    Report until(long generation, long waitMillis) {
        long startNanos = System.nanoTime();
        List<HostStatus> statuses = operators.statuses();
        show(statuses, generation);
        while (!allHold(statuses, generation)
                && System.nanoTime() - startNanos < waitMillis * NANOS_PER_MILLI
                && !Thread.currentThread().isInterrupted()) {
            Pause.millis(POLL_MILLIS);
            statuses = operators.statuses();
            show(statuses, generation);
        }
        return report(statuses, generation);
    }

    private static boolean allHold(List<HostStatus> statuses, long generation) {
        return statuses.stream().allMatch(status -> status.holds(generation));
    }

    private void show(List<HostStatus> statuses, long generation) {
        Map<String, List<HostStatus>> regions = new TreeMap<>();
        statuses.forEach(status -> regions.computeIfAbsent(status.region(), region -> new ArrayList<>())
                .add(status));
        regions.forEach((region, hosts) -> {
            long holding = hosts.stream().filter(host -> host.holds(generation)).count();
            String line = region + ": " + holding + " of " + hosts.size() + " hosts at generation " + generation;
            if (!line.equals(shown.put(region, line))) {
                console.progress(line);
            }
        });
    }

    private Report report(List<HostStatus> statuses, long generation) {
        List<String> missing = statuses.stream()
                .filter(status -> !status.holds(generation))
                .map(HostStatus::host)
                .toList();
        json.put("inForce", missing.isEmpty());
        missing.forEach(json.putArray("notInForceAt")::add);
        if (missing.isEmpty()) {
            return Report.of(
                    ExitCode.DONE, List.of("generation " + generation + " is in force at every entry host"), json);
        }
        ExitCode code = statuses.stream().anyMatch(HostStatus::reached) ? ExitCode.REFUSED : ExitCode.UNREACHABLE;
        String line = "generation " + generation + " is not in force at " + String.join(", ", missing);
        return Report.of(code, List.of(line), json);
    }
}
