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
 * Measures the CPU time that one entry host process spends per request and per stream event. Run by one thread.
 *
 * <p>The CPU time is that of the entry host's process alone; stand-in targets and callers run on the same machine, so
 * the rates are limits of the whole setup, not of the host.
 */
public final class DataPathMeasurement {
    private static final int ROUNDS = 3;
    private static final int QUERIES = 600;
    private static final int STREAMS = 48;
    private static final int SHORT_STREAM_EVENTS = 8;
    private static final int LONG_STREAM_EVENTS = 400;
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

    /** The answered calls, the duration and the entry host's CPU time of a batch of calls. Immutable and thread safe. */
    private record BatchUsage(int answered, double seconds, double cpuNanos) {}

    /**
     * Runs the measurement and prints the results of each round.
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
            measurement.warmUp(0);
            for (int round = 1; round <= ROUNDS; round++) {
                measurement.measure(round);
            }
        }
    }

    private void measure(int round) {
        BatchUsage queries = queries(round);
        BatchUsage shortStreams = streams(round, SHORT_STREAM_EVENTS);
        BatchUsage longStreams = streams(round, LONG_STREAM_EVENTS);
        double eventNanos = (longStreams.cpuNanos() - shortStreams.cpuNanos())
                / (STREAMS * (double) (LONG_STREAM_EVENTS - SHORT_STREAM_EVENTS));
        System.out.printf(
                Locale.ROOT,
                "round %d: query %.0f us of a core, %.0f/s; part of a stream %.1f us of a core; %.0f parts/s%n",
                round,
                queries.cpuNanos() / QUERIES / NANOS_PER_MICRO,
                QUERIES / queries.seconds(),
                eventNanos / NANOS_PER_MICRO,
                STREAMS * LONG_STREAM_EVENTS / longStreams.seconds());
        System.out.printf(
                Locale.ROOT,
                "round %d: answered %d of %d%n",
                round,
                queries.answered() + shortStreams.answered() + longStreams.answered(),
                QUERIES + 2 * STREAMS);
    }

    private void warmUp(int round) {
        queries(round);
        streams(round, LONG_STREAM_EVENTS);
    }

    private BatchUsage queries(int round) {
        return measureBatch(
                QUERIES, number -> CallRequest.query("q" + round + "-" + number, model, "torque " + number, 1));
    }

    private BatchUsage streams(int round, int events) {
        return measureBatch(
                STREAMS,
                number -> CallRequest.draft(
                        "d" + round + "-" + events + "-" + number, model, "manual " + number, events));
    }

    private BatchUsage measureBatch(int calls, IntFunction<CallRequest> call) {
        long cpuStartNanos = cpuNanos();
        long startNanos = System.nanoTime();
        List<CompletableFuture<CallResult>> results = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            results.add(caller.sendAsync(host.callersAddress(), call.apply(i).withTimeout(TIMEOUT)));
        }
        long answered = results.stream()
                .map(CompletableFuture::join)
                .filter(result -> result.outcome() == CallOutcome.ANSWERED)
                .count();
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        return new BatchUsage(Math.toIntExact(answered), seconds, cpuNanos() - cpuStartNanos);
    }

    private long cpuNanos() {
        return host.process().cpuTime().toNanos();
    }
}
