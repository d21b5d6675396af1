package org.rattanplank.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures what control costs one node: processor time, bytes and memory over the peers of its data centre and the other
 * data centres. Confined to one thread.
 */
public final class ControlCostMeasurement {
    private static final int[] PEERS = {2, 4, 8};
    private static final int[] CENTRES = {3, 10, 30, 82};
    private static final int[] STORE_CENTRES = {3, 12};
    private static final int[] STORE_HOSTS = {2, 4, 8};
    private static final long STORE_MILLIS = 30_000;
    private static final int TARGETS = 67;
    private static final int SERVICES = 30;
    private static final int ACCOUNTS = 3_100;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long COUNTED_MILLIS = 60_000;
    private static final double GOAL_CPU_PERCENT = 4;
    private static final double GOAL_MEBIBYTES = 64;
    private static final double GOAL_BYTES_PER_SECOND = 8_192;
    private static final double MEBIBYTE = 1_048_576;

    private record Cost(
            int peers, int centres, double cpuPercent, double sent, double received, double mebibytes, LoneNode node) {}

    private ControlCostMeasurement() {}

    /**
     * Runs the measurement and prints its tables.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.printf(
                "one real node in virtual time; stand-ins send what %d targets, peers and other data centres would;%n"
                        + "%d services, %d accounts, 3,700 changes a day; messages encoded as MessagePack; %d s counted%n%n",
                TARGETS, SERVICES, ACCOUNTS, COUNTED_MILLIS / 1_000);
        measure(8, 82);
        List<Cost> costs = new ArrayList<>();
        out.println("peers  other centres  speaks to  cpu % of a core  sent B/s  received B/s  retained MiB");
        for (int peers : PEERS) {
            for (int centres : CENTRES) {
                Cost cost = measure(peers, centres);
                costs.add(cost);
                out.printf(
                        "%5d  %13d  %9d  %15.3f  %8.0f  %12.0f  %12.2f%n",
                        peers,
                        centres,
                        cost.node.centresSpokenTo(),
                        cost.cpuPercent,
                        cost.sent,
                        cost.received,
                        cost.mebibytes);
            }
        }
        printSlopes(out, costs);
        printKinds(out, costs.get(CENTRES.length + CENTRES.length - 1));
        printStoreCalls(out);
    }

    private static void printStoreCalls(PrintStream out) {
        out.printf("%nstore calls a second of a whole fleet, store well, after %d s%n", WARM_UP_MILLIS / 1_000);
        out.println("data centres  hosts in each  calls/s  by part");
        for (int centres : STORE_CENTRES) {
            for (int hosts : STORE_HOSTS) {
                VirtualFleet fleet = new VirtualFleet();
                for (int host = 0; host < centres * hosts; host++) {
                    int centre = host % centres;
                    fleet.add("host-" + host, "region-" + centre, "centre-" + centre);
                }
                fleet.configure(FleetDocuments.of(1, centres, 3, 2).toText())
                        .relist(0)
                        .run(WARM_UP_MILLIS);
                fleet.storeCallsInSecond().clear();
                fleet.storeCallsOfPart().clear();
                fleet.run(STORE_MILLIS);
                int calls = fleet.storeCallsInSecond().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                out.printf(
                        "%12d  %13d  %7.2f  %s%n",
                        centres,
                        hosts,
                        calls * 1_000.0 / STORE_MILLIS,
                        new java.util.TreeMap<>(fleet.storeCallsOfPart()));
            }
        }
    }

    private static Cost measure(int peers, int centres) {
        LoneNode node = new LoneNode(peers, centres, TARGETS, SERVICES, ACCOUNTS);
        node.run(WARM_UP_MILLIS);
        node.startCounting();
        node.run(COUNTED_MILLIS);
        double seconds = COUNTED_MILLIS / 1_000.0;
        double cpuPercent = node.cpuNanos() / 1e9 / seconds * 100;
        long with = usedBytes();
        node.forgetNode();
        double mebibytes = (with - usedBytes()) / MEBIBYTE;
        return new Cost(
                peers,
                centres,
                cpuPercent,
                node.bytesSent() / seconds,
                node.bytesReceived() / seconds,
                mebibytes,
                node);
    }

    private static void printSlopes(PrintStream out, List<Cost> costs) {
        double[] peers = costs.stream().mapToDouble(Cost::peers).toArray();
        double[] centres = costs.stream().mapToDouble(Cost::centres).toArray();
        out.printf("%nfitted: cost = fixed + perPeer * peers + perCentre * other centres%n");
        out.println("what              fixed   perPeer  perCentre  at 4/81  at 8/81  at 20/81  goal");
        print(out, "cpu %", peers, centres, costs.stream().mapToDouble(Cost::cpuPercent), GOAL_CPU_PERCENT);
        print(out, "sent B/s", peers, centres, costs.stream().mapToDouble(Cost::sent), GOAL_BYTES_PER_SECOND);
        print(out, "received B/s", peers, centres, costs.stream().mapToDouble(Cost::received), GOAL_BYTES_PER_SECOND);
        print(out, "retained MiB", peers, centres, costs.stream().mapToDouble(Cost::mebibytes), GOAL_MEBIBYTES);
    }

    private static void print(
            PrintStream out,
            String what,
            double[] peers,
            double[] centres,
            java.util.stream.DoubleStream costs,
            double goal) {
        Slope slope = Slope.fit(peers, centres, costs.toArray());
        out.printf(
                "%-14s %8.3f  %8.3f  %9.4f  %7.2f  %7.2f  %8.2f  %.0f%n",
                what,
                slope.fixed(),
                slope.perPeer(),
                slope.perCentre(),
                slope.at(4, 81),
                slope.at(8, 81),
                slope.at(20, 81),
                goal);
    }

    private static void printKinds(PrintStream out, Cost cost) {
        double seconds = COUNTED_MILLIS / 1_000.0;
        out.printf("%nwith %d peers and %d other centres, by message, B/s%n", cost.peers, cost.centres);
        printKinds(out, "sent", cost.node.sentBytes(), seconds);
        printKinds(out, "received", cost.node.receivedBytes(), seconds);
        out.println("store calls a second of this node: ");
        cost.node.storeCalls().forEach((call, count) -> out.printf("  %s %.3f%n", call, count / seconds));
    }

    private static void printKinds(PrintStream out, String way, Map<String, Long> bytes, double seconds) {
        bytes.forEach((kind, count) -> out.printf("  %s %s %.0f%n", way, kind, count / seconds));
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
