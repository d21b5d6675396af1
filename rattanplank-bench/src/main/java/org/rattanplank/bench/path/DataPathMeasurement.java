package org.rattanplank.bench.path;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;

import org.rattanplank.bench.process.Deployment;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.FleetOptions;
import org.rattanplank.bench.process.Host;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;

/**
 * Measures what one real entry host spends on requests and on the parts of streams. Run by one thread.
 *
 * <p>The processor time is that of the entry host's process alone; stand-in targets and callers run beside it on the
 * same machine, so the rates are bounds of the whole arrangement, not of the host.
 */
public final class DataPathMeasurement {
    private static final int ROUNDS = 3;
    private static final int QUERIES = 600;
    private static final int STREAMS = 48;
    private static final int SHORT_PARTS = 8;
    private static final int LONG_PARTS = 400;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final Host host;
    private final Caller caller;
    private final String model;

    private DataPathMeasurement(Host host, Caller caller, String model) {
        this.host = host;
        this.caller = caller;
        this.model = model;
    }

    /** What a batch of calls cost. Immutable and thread safe. */
    private record Cost(int answered, double seconds, double cpuNanos) {}

    /**
     * Measures and prints one line a round.
     *
     * @param args none
     */
    public static void main(String[] args) {
        FleetOptions options = FleetOptions.of(Deployment.KORO)
                .withTargetSettings("--token-millis", "10", "--slots", "64", "--prefill-tokens-per-step", "5000");
        try (Fleet fleet = Fleet.start(options)) {
            Host host = fleet.host("suva-1");
            DataPathMeasurement measurement = new DataPathMeasurement(
                    host, Caller.of("suva-floor-token"), fleet.deployment().modelService());
            System.out.println("one entry host, 3 stand-in engines of 64 slots and 100 tokens/s a stream");
            measurement.round(0);
            for (int round = 1; round <= ROUNDS; round++) {
                measurement.print(round);
            }
        }
    }

    private void print(int round) {
        Cost queries = queries(round);
        Cost brief = streams(round, SHORT_PARTS);
        Cost lengthy = streams(round, LONG_PARTS);
        double partNanos = (lengthy.cpuNanos() - brief.cpuNanos()) / (STREAMS * (double) (LONG_PARTS - SHORT_PARTS));
        System.out.printf(
                Locale.ROOT,
                "round %d: query %.0f us of a core, %.0f/s; part of a stream %.1f us of a core; %.0f parts/s%n",
                round,
                queries.cpuNanos() / QUERIES / NANOS_PER_MICRO,
                QUERIES / queries.seconds(),
                partNanos / NANOS_PER_MICRO,
                STREAMS * LONG_PARTS / lengthy.seconds());
        System.out.printf(
                Locale.ROOT,
                "round %d: answered %d of %d%n",
                round,
                queries.answered() + brief.answered() + lengthy.answered(),
                QUERIES + 2 * STREAMS);
    }

    private void round(int number) {
        queries(number);
        streams(number, LONG_PARTS);
    }

    private Cost queries(int round) {
        return cost(QUERIES, number -> CallRequest.query("q" + round + "-" + number, model, "torque " + number, 1));
    }

    private Cost streams(int round, int parts) {
        return cost(
                STREAMS,
                number ->
                        CallRequest.draft("d" + round + "-" + parts + "-" + number, model, "manual " + number, parts));
    }

    private Cost cost(int calls, IntFunction<CallRequest> call) {
        long cpuBefore = cpuNanos();
        long before = System.nanoTime();
        List<CompletableFuture<CallResult>> results = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            results.add(caller.start(host.callers(), call.apply(i).within(TIMEOUT)));
        }
        long answered = results.stream()
                .map(CompletableFuture::join)
                .filter(result -> result.outcome() == CallOutcome.ANSWERED)
                .count();
        double seconds = (System.nanoTime() - before) / NANOS_PER_SECOND;
        return new Cost(Math.toIntExact(answered), seconds, cpuNanos() - cpuBefore);
    }

    private long cpuNanos() {
        return host.child().cpuTime().toNanos();
    }
}
