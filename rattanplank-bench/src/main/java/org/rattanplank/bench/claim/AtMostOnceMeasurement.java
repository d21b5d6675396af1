package org.rattanplank.bench.claim;

import java.util.List;
import java.util.Locale;

/** Compares three strategies for running a call at most once; run by {@code bin/measure at-most-once}. */
public final class AtMostOnceMeasurement {
    private static final List<String> HOSTS = List.of("suva-1", "suva-2", "suva-3", "suva-4", "suva-5", "suva-6");
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long SEED = 20_261_202;
    private static final long CLUSTER_FORMATION_MILLIS = 10_000;
    private static final long PHASE_MILLIS = 20_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long DRAIN_MILLIS = 15_000;
    private static final int PEAK_REQUESTS_PER_SECOND = 20_000;
    private static final int DATA_CENTRES = 82;
    private static final int HOSTS_CHANGED_PER_DAY = 45 + 920;
    private static final double SECONDS_PER_DAY = 86_400;

    private AtMostOnceMeasurement() {}

    /**
     * Runs every scenario with every strategy and prints one line for each combination.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        printModel();
        print("scenario                  way        added_p50_ms added_p99_ms bookings answered_%% unknown ran_twice"
                + " store_writes");
        for (Scenario scenario : Scenario.values()) {
            for (int strategy = 0; strategy < 3; strategy++) {
                measure(scenario, strategy);
            }
        }
        printStoreWrites();
    }

    private static void printModel() {
        print(
                "Modelled, not measured: virtual time; one data centre of %d entry hosts; a link takes %.2f ms plus"
                        + " %.2f ms on average; the store takes %.0f ms plus %.0f ms on average and %d writes a second;"
                        + " targets take %.0f ms plus %.0f ms on average; %d bookings a second, %d in 100 of them repeated at"
                        + " another host after 30 ms; callers come back when told to, five times at most.",
                HOSTS.size(),
                WriteAllStrategy.LINK_FIXED_DELAY_MICROS / 1e3,
                WriteAllStrategy.LINK_MEAN_EXTRA_DELAY_MICROS / 1e3,
                ModelStore.FIXED_DELAY_MICROS / 1e3,
                ModelStore.MEAN_EXTRA_DELAY_MICROS / 1e3,
                ModelStore.WRITES_PER_SECOND,
                BookingLoad.TARGET_FIXED_LATENCY_MICROS / 1e3,
                BookingLoad.TARGET_MEAN_EXTRA_LATENCY_MICROS / 1e3,
                BookingLoad.BOOKINGS_PER_SECOND,
                BookingLoad.RETRIED_PERCENT);
        print("Real: the code of write-all is the core's Claims. The middle third of a run has the fault.");
    }

    private static void measure(Scenario scenario, int strategyNumber) {
        VirtualTime time = new VirtualTime(START_MILLIS, SEED);
        ModelStore store = new ModelStore(time);
        ClaimStrategy strategy = strategy(strategyNumber, time, store);
        time.runFor(CLUSTER_FORMATION_MILLIS);
        BookingLoad load = new BookingLoad(time, strategy, HOSTS);
        for (int i = 0; i < 3 * PHASE_MILLIS / MILLIS_PER_SECOND * BookingLoad.BOOKINGS_PER_SECOND; i++) {
            time.after(i * MILLIS_PER_SECOND * MILLIS_PER_SECOND / BookingLoad.BOOKINGS_PER_SECOND, load::book);
        }
        long previousWrites = store.writeCount();
        time.runFor(PHASE_MILLIS);
        scenario.injectFault(store, load, HOSTS);
        time.runFor(PHASE_MILLIS);
        store.unavailable(false);
        time.runFor(PHASE_MILLIS + DRAIN_MILLIS);
        printResult(scenario, strategy, load.result(store.writeCount() - previousWrites));
    }

    private static ClaimStrategy strategy(int number, VirtualTime time, ModelStore store) {
        return switch (number) {
            case 0 -> new NoClaimStrategy();
            case 1 -> new StoreClaimStrategy(store);
            default -> new WriteAllStrategy(time, store, HOSTS);
        };
    }

    private static void printResult(Scenario scenario, ClaimStrategy strategy, StrategyResult result) {
        print(
                "%-25s %-10s %12.2f %12.2f %8d %10.2f %7d %9d %12d",
                scenario.name().toLowerCase(Locale.ROOT),
                strategy.label(),
                result.medianMillis(),
                result.p99Millis(),
                result.bookings(),
                result.answeredPercent(),
                result.unknown(),
                result.ranTwice(),
                result.storeWrites());
        if (strategy instanceof WriteAllStrategy writeAll) {
            print(
                    "  write-all sent %.1f messages a booking and used %.0f us of processor time a booking, all hosts"
                            + " together (measured here)",
                    (double) writeAll.messageCount() / result.bookings(),
                    writeAll.processingNanos() / 1e3 / result.bookings());
        }
    }

    private static void printStoreWrites() {
        print(
                "Worked out, not measured, if all %d requests a second were bookings: store-cas needs %d writes a second"
                        + " (a claim and its end each), write-all %.3f (a removal and a join for each of %d hosts that fail or"
                        + " are replaced in a day in %d data centres), no-claim none.",
                PEAK_REQUESTS_PER_SECOND,
                2 * PEAK_REQUESTS_PER_SECOND,
                2 * HOSTS_CHANGED_PER_DAY / SECONDS_PER_DAY,
                HOSTS_CHANGED_PER_DAY,
                DATA_CENTRES);
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
