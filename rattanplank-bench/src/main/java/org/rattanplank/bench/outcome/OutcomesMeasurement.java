package org.rattanplank.bench.outcome;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import org.rattanplank.bench.process.Deployment;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.FleetOptions;
import org.rattanplank.bench.process.LedgerRun;
import org.rattanplank.bench.process.Poll;

/**
 * Makes thousands of calls while seeded disturbances kill, suspend and partition processes, and compares the outcome
 * reported to every caller with the recorded runs. Confined to one thread.
 */
public final class OutcomesMeasurement {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
    private static final int CALLER_COUNT = 12;
    private static final int MAX_PRINTED_CALLS = 5;
    private static final long SETTLE_TIMEOUT_MILLIS = 60_000;

    @Parameter(names = "--deployment", description = "koro or brazos")
    private String deployment = "koro";

    @Parameter(names = "--seed", description = "the seed of the calls and of the disturbances")
    private long seed = 1;

    @Parameter(names = "--calls", description = "the minimum number of calls")
    private int calls = 3_000;

    @Parameter(names = "--calls-between", description = "the number of calls between two disturbances")
    private int callsBetween = 60;

    @Parameter(
            names = "--without-claims",
            description = "disable claims, to show that the measurement detects the violations")
    private boolean withoutClaims;

    private OutcomesMeasurement() {}

    /**
     * Runs the measurement and prints the counts; the exit code is 1 if a guarantee was violated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        OutcomesMeasurement measurement = new OutcomesMeasurement();
        JCommander.newBuilder().addObject(measurement).build().parse(args);
        System.exit(measurement.run() ? 0 : 1);
    }

    private boolean run() {
        Deployment chosen =
                Deployment.of(deployment).getOrElseThrow(() -> new IllegalArgumentException("koro or brazos"));
        FleetOptions options = FleetOptions.of(chosen);
        try (Fleet fleet = Fleet.start(withoutClaims ? options.withoutClaims() : options)) {
            System.out.println("deployment " + deployment + " seed " + seed + " claims " + !withoutClaims);
            OutcomeAudit audit = measure(fleet);
            audit.toLines().forEach(System.out::println);
            return audit.isClean();
        }
    }

    private OutcomeAudit measure(Fleet fleet) {
        Random random = new Random(seed);
        Disturbance[] disturbances = Disturbance.values();
        try (CallLoad load = new CallLoad(fleet, seed, CALL_TIMEOUT, CALLER_COUNT)) {
            int disturbanceCount = 0;
            for (int dueCalls = callsBetween; dueCalls < calls - callsBetween; dueCalls += callsBetween) {
                int requiredCalls = dueCalls;
                Poll.until("enough calls end", SETTLE_TIMEOUT_MILLIS, () -> load.endedCalls() >= requiredCalls);
                Disturbance disturbance = disturbances[random.nextInt(disturbances.length)];
                System.err.println("at " + load.endedCalls() + " calls: " + disturbance);
                disturbance.apply(fleet, random);
                disturbanceCount++;
            }
            List<CallRecord> records = load.finishAfter(calls);
            System.out.println("calls " + records.size() + " disturbances " + disturbanceCount);
            Poll.until("all runs have ended", SETTLE_TIMEOUT_MILLIS, () -> fleet.ledger().stream()
                    .noneMatch(run -> run.state().equals("running")));
            List<LedgerRun> runs = fleet.ledger();
            OutcomeAudit audit = OutcomeAudit.of(records, runs);
            printDetails(audit, records, runs);
            return audit;
        }
    }

    /** Prints the reported results and the recorded runs of the first calls of each kind of violation. */
    private static void printDetails(OutcomeAudit audit, List<CallRecord> records, List<LedgerRun> runs) {
        printCalls("not run but ran", audit.notRunButRan(), records, runs);
        printCalls("ran twice", audit.ranTwice(), records, runs);
        printCalls("lost", audit.lost(), records, runs);
        printCalls("partial as whole", audit.partialAsWhole(), records, runs);
        printCalls("outside residency", audit.outsideResidency(), records, runs);
    }

    private static void printCalls(
            String violation, List<String> references, List<CallRecord> records, List<LedgerRun> runs) {
        for (String reference : references.subList(0, Math.min(MAX_PRINTED_CALLS, references.size()))) {
            System.err.println(violation + ": " + reference);
            records.stream()
                    .filter(call -> call.request().reference().equals(reference))
                    .flatMap(call -> call.results().stream())
                    .forEach(result -> System.err.println("  told " + result));
            runs.stream()
                    .filter(run -> run.reference().equals(reference))
                    .forEach(run -> System.err.println("  " + run));
        }
    }
}
