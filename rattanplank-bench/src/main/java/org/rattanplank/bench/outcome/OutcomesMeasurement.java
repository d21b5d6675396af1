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
 * Makes thousands of calls while processes are killed, frozen and cut at seeded moments, and compares every caller's
 * outcome with what truly ran. Run by one thread.
 */
public final class OutcomesMeasurement {
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final int CALLERS = 12;
    private static final int MAX_SHOWN = 5;
    private static final long SETTLE_MILLIS = 60_000;

    @Parameter(names = "--deployment", description = "koro or brazos")
    private String deployment = "koro";

    @Parameter(names = "--seed", description = "the seed of the calls and of what happens")
    private long seed = 1;

    @Parameter(names = "--calls", description = "how many calls are made at least")
    private int calls = 3_000;

    @Parameter(names = "--calls-between", description = "how many calls there are between two disturbances")
    private int callsBetween = 60;

    @Parameter(names = "--without-claims", description = "take the claim step out, to show that the measure sees it")
    private boolean withoutClaims;

    private OutcomesMeasurement() {}

    /**
     * Measures and prints the counts; ends with 1 if any of what must hold did not.
     *
     * @param args the settings
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
        try (CallLoad load = new CallLoad(fleet, seed, TIMEOUT, CALLERS)) {
            int happened = 0;
            for (int at = callsBetween; at < calls - callsBetween; at += callsBetween) {
                int reached = at;
                Poll.until("calls go on", SETTLE_MILLIS, () -> load.endedCalls() >= reached);
                Disturbance disturbance = disturbances[random.nextInt(disturbances.length)];
                System.err.println("at " + load.endedCalls() + " calls: " + disturbance);
                disturbance.happen(fleet, random);
                happened++;
            }
            List<CallRecord> records = load.finishAfter(calls);
            System.out.println("calls " + records.size() + " disturbances " + happened);
            Poll.until("nothing runs any more", SETTLE_MILLIS, () -> fleet.ledger().stream()
                    .noneMatch(run -> run.state().equals("running")));
            List<LedgerRun> runs = fleet.ledger();
            OutcomeAudit audit = OutcomeAudit.of(records, runs);
            showDetails(audit, records, runs);
            return audit;
        }
    }

    /** Shows what callers were told and what ran, for the first calls of each kind that should not be there. */
    private static void showDetails(OutcomeAudit audit, List<CallRecord> records, List<LedgerRun> runs) {
        show("not run but ran", audit.notRunButRan(), records, runs);
        show("ran twice", audit.ranTwice(), records, runs);
        show("lost", audit.lost(), records, runs);
        show("partial as whole", audit.partialAsWhole(), records, runs);
        show("outside residency", audit.outsideResidency(), records, runs);
    }

    private static void show(String what, List<String> references, List<CallRecord> records, List<LedgerRun> runs) {
        for (String reference : references.subList(0, Math.min(MAX_SHOWN, references.size()))) {
            System.err.println(what + ": " + reference);
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
