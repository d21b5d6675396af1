package org.rattanplank.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * Measures the time from the write of a configuration change to the store until the change is in force on every host of
 * every region, in virtual time. Confined to one thread.
 */
public final class ConfigMeasurement {
    private static final int DATA_CENTRES = 12;
    private static final int HOSTS_PER_DATA_CENTRE = 4;
    private static final int CHANGES = 50;
    private static final long STEP_MILLIS = 10;
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final long SLOW_STORE_DELAY_MILLIS = 800;
    private static final String PARTITIONED_DATA_CENTRE = "centre-3";

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
                DATA_CENTRES,
                HOSTS_PER_DATA_CENTRE,
                CHANGES,
                VirtualFleet.LOCAL_DELAY_MILLIS,
                VirtualFleet.REMOTE_DELAY_MILLIS);
        out.println("case                                    median ms  max ms  not in force within 30 s");
        measureCase(out, "store well (3 ms)", fleet -> {});
        measureCase(out, "store slow (800 ms a call)", fleet -> fleet.storeDelayMillis(SLOW_STORE_DELAY_MILLIS));
        measureCase(
                out,
                "one data centre reaches only peers",
                fleet -> fleet.storePartitioned(PARTITIONED_DATA_CENTRE, true));
        measureCase(out, "all open watches silent before each", VirtualFleet::makeWatchesUnresponsive);
    }

    private static void measureCase(PrintStream out, String name, Consumer<VirtualFleet> fault) {
        VirtualFleet fleet = new VirtualFleet();
        for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
            for (int host = 0; host < HOSTS_PER_DATA_CENTRE; host++) {
                fleet.addHost("host-" + dataCentre + "-" + host, "region-" + dataCentre, "centre-" + dataCentre);
            }
        }
        fleet.writeConfiguration(FleetDocuments.of(1, DATA_CENTRES, 3, 2).toText())
                .publishHostList(0)
                .advance(15_000);
        List<Long> times = new ArrayList<>();
        int timedOut = 0;
        for (long generation = 2; generation < 2 + CHANGES; generation++) {
            fault.accept(fleet);
            fleet.advance(7_000 + generation * 137 % 1_000);
            fault.accept(fleet);
            long millis = measureInForceMillis(fleet, generation);
            timedOut += millis < 0 ? 1 : 0;
            times.add(millis < 0 ? TIMEOUT_MILLIS : millis);
        }
        Collections.sort(times);
        out.printf(
                "%-38s  %9d  %6d  %d of %d%n",
                name, times.get(times.size() / 2), times.get(times.size() - 1), timedOut, CHANGES);
    }

    private static long measureInForceMillis(VirtualFleet fleet, long generation) {
        fleet.writeConfiguration(
                FleetDocuments.of(generation, DATA_CENTRES, 3, 2).toText());
        for (long elapsedMillis = 0; elapsedMillis <= TIMEOUT_MILLIS; elapsedMillis += STEP_MILLIS) {
            boolean inForceOnAllHosts = fleet.runningHosts().stream()
                    .allMatch(host -> fleet.node(host).configuration().generation() >= generation);
            if (inForceOnAllHosts) {
                return elapsedMillis;
            }
            fleet.advance(STEP_MILLIS);
        }
        return -1;
    }
}
