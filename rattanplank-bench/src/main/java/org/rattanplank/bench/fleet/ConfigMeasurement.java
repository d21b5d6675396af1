package org.rattanplank.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * Measures the time from the store's acceptance of a change until it is in force at every host of every region, in
 * virtual time. Confined to one thread.
 */
public final class ConfigMeasurement {
    private static final int CENTRES = 12;
    private static final int HOSTS = 4;
    private static final int CHANGES = 50;
    private static final long STEP_MILLIS = 10;
    private static final long LIMIT_MILLIS = 30_000;
    private static final long SLOW_STORE_MILLIS = 800;
    private static final String CUT_CENTRE = "centre-3";

    private ConfigMeasurement() {}

    /**
     * Runs the measurement and prints its table.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.printf(
                "%d regions of one data centre with %d hosts each, %d changes in each case; virtual time, core level%n"
                        + "(no sockets): links %d ms inside a data centre, %d ms between them, one way%n%n",
                CENTRES, HOSTS, CHANGES, VirtualFleet.LOCAL_DELAY_MILLIS, VirtualFleet.REMOTE_DELAY_MILLIS);
        out.println("case                                    median ms  max ms  not in force within 30 s");
        print(out, "store well (3 ms)", fleet -> {});
        print(out, "store slow (800 ms a call)", fleet -> fleet.storeDelayMillis(SLOW_STORE_MILLIS));
        print(out, "one data centre reaches only peers", fleet -> fleet.cutFromStore(CUT_CENTRE, true));
        print(out, "all open watches silent before each", VirtualFleet::silenceWatches);
    }

    private static void print(PrintStream out, String name, Consumer<VirtualFleet> before) {
        VirtualFleet fleet = new VirtualFleet();
        for (int centre = 0; centre < CENTRES; centre++) {
            for (int host = 0; host < HOSTS; host++) {
                fleet.add("host-" + centre + "-" + host, "region-" + centre, "centre-" + centre);
            }
        }
        fleet.configure(FleetDocuments.of(1, CENTRES, 3, 2).toText()).relist(0).run(15_000);
        List<Long> times = new ArrayList<>();
        int missed = 0;
        for (long generation = 2; generation < 2 + CHANGES; generation++) {
            before.accept(fleet);
            fleet.run(7_000 + generation * 137 % 1_000);
            before.accept(fleet);
            long millis = inForceMillis(fleet, generation);
            missed += millis < 0 ? 1 : 0;
            times.add(millis < 0 ? LIMIT_MILLIS : millis);
        }
        Collections.sort(times);
        out.printf(
                "%-38s  %9d  %6d  %d of %d%n",
                name, times.get(times.size() / 2), times.get(times.size() - 1), missed, CHANGES);
    }

    private static long inForceMillis(VirtualFleet fleet, long generation) {
        fleet.configure(FleetDocuments.of(generation, CENTRES, 3, 2).toText());
        for (long waited = 0; waited <= LIMIT_MILLIS; waited += STEP_MILLIS) {
            boolean everywhere = fleet.live().stream()
                    .allMatch(host -> fleet.node(host).configuration().generation() >= generation);
            if (everywhere) {
                return waited;
            }
            fleet.run(STEP_MILLIS);
        }
        return -1;
    }
}
