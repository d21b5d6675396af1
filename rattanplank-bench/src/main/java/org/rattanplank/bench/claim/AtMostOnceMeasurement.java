package org.rattanplank.bench.claim;

import java.util.List;
import java.util.Locale;

/** Compares three ways to run a call at most once; {@code bin/measure at-most-once}. */
public final class AtMostOnceMeasurement {
    private static final List<String> HOSTS = List.of("suva-1", "suva-2", "suva-3", "suva-4", "suva-5", "suva-6");
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long SEED = 20_261_202;
    private static final long FORM_MILLIS = 10_000;
    private static final long THIRD_MILLIS = 20_000;
    private static final long SECOND_MILLIS = 1_000;
    private static final long END_MILLIS = 15_000;
    private static final int PEAK_PER_SECOND = 20_000;
    private static final int DATA_CENTRES = 82;
    private static final int HOSTS_CHANGED_PER_DAY = 45 + 920;
    private static final double SECONDS_PER_DAY = 86_400;

    private AtMostOnceMeasurement() {}

    /**
     * Runs every scenario with every way and prints one line for each.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        printModel();
        print("scenario                  way        added_p50_ms added_p99_ms bookings answered_%% unknown ran_twice"
                + " store_writes");
        for (Scenario scenario : Scenario.values()) {
            for (int way = 0; way < 3; way++) {
                measure(scenario, way);
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
                WriteAllWay.LINK_FIXED_MICROS / 1e3,
                WriteAllWay.LINK_MEAN_MORE_MICROS / 1e3,
                ModelStore.FIXED_MICROS / 1e3,
                ModelStore.MEAN_MORE_MICROS / 1e3,
                ModelStore.WRITES_PER_SECOND,
                BookingLoad.TARGET_FIXED_MICROS / 1e3,
                BookingLoad.TARGET_MEAN_MORE_MICROS / 1e3,
                BookingLoad.PER_SECOND,
                BookingLoad.REPEATED_PERCENT);
        print("Real: the code of write-all is the core's Claims. The middle third of a run has the fault.");
    }

    private static void measure(Scenario scenario, int wayNumber) {
        VirtualTime time = new VirtualTime(START_MILLIS, SEED);
        ModelStore store = new ModelStore(time);
        ClaimWay way = way(wayNumber, time, store);
        time.runFor(FORM_MILLIS);
        BookingLoad load = new BookingLoad(time, way, HOSTS);
        for (int i = 0; i < 3 * THIRD_MILLIS / SECOND_MILLIS * BookingLoad.PER_SECOND; i++) {
            time.after(i * SECOND_MILLIS * SECOND_MILLIS / BookingLoad.PER_SECOND, load::book);
        }
        long writesBefore = store.writes();
        time.runFor(THIRD_MILLIS);
        scenario.strike(store, load, HOSTS);
        time.runFor(THIRD_MILLIS);
        store.out(false);
        time.runFor(THIRD_MILLIS + END_MILLIS);
        printResult(scenario, way, load.result(store.writes() - writesBefore));
    }

    private static ClaimWay way(int number, VirtualTime time, ModelStore store) {
        return switch (number) {
            case 0 -> new NoClaimWay();
            case 1 -> new StoreWay(store);
            default -> new WriteAllWay(time, store, HOSTS);
        };
    }

    private static void printResult(Scenario scenario, ClaimWay way, WayResult result) {
        print(
                "%-25s %-10s %12.2f %12.2f %8d %10.2f %7d %9d %12d",
                scenario.name().toLowerCase(Locale.ROOT),
                way.label(),
                result.medianMillis(),
                result.tailMillis(),
                result.bookings(),
                result.answeredPercent(),
                result.unknown(),
                result.ranTwice(),
                result.storeWrites());
        if (way instanceof WriteAllWay writeAll) {
            print(
                    "  write-all sent %.1f messages a booking and used %.0f us of processor time a booking, all hosts"
                            + " together (measured here)",
                    (double) writeAll.messages() / result.bookings(), writeAll.coreNanos() / 1e3 / result.bookings());
        }
    }

    private static void printStoreWrites() {
        print(
                "Worked out, not measured, if all %d requests a second were bookings: store-cas needs %d writes a second"
                        + " (a claim and its end each), write-all %.3f (a removal and a join for each of %d hosts that fail or"
                        + " are replaced in a day in %d data centres), no-claim none.",
                PEAK_PER_SECOND,
                2 * PEAK_PER_SECOND,
                2 * HOSTS_CHANGED_PER_DAY / SECONDS_PER_DAY,
                HOSTS_CHANGED_PER_DAY,
                DATA_CENTRES);
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
