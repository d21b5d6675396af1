package org.rattanplank.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures the cost of the control plane on one node: processor time, bytes and memory as functions of the number of
 * peers in its data centre and of other data centres. Confined to one thread.
 */
public final class ControlCostMeasurement {
    private static final int[] PEER_COUNTS = {2, 4, 8};
    private static final int[] REMOTE_DATA_CENTRE_COUNTS = {3, 10, 30, 82};
    private static final int[] STORE_DATA_CENTRE_COUNTS = {3, 12};
    private static final int[] STORE_HOST_COUNTS = {2, 4, 8};
    private static final long STORE_MEASUREMENT_MILLIS = 30_000;
    private static final int TARGET_COUNT = 67;
    private static final int SERVICE_COUNT = 30;
    private static final int CLIENT_ACCOUNT_COUNT = 3_100;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long MEASUREMENT_MILLIS = 60_000;
    private static final double GOAL_CPU_PERCENT = 4;
    private static final double GOAL_MEBIBYTES = 64;
    private static final double GOAL_BYTES_PER_SECOND = 8_192;
    private static final double BYTES_PER_MEBIBYTE = 1_048_576;

    private record Cost(
            int peers,
            int remoteDataCentres,
            double cpuPercent,
            double sentBytesPerSecond,
            double receivedBytesPerSecond,
            double retainedMebibytes,
            SingleNodeSimulation node) {}

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
                TARGET_COUNT, SERVICE_COUNT, CLIENT_ACCOUNT_COUNT, MEASUREMENT_MILLIS / 1_000);
        measure(8, 82);
        List<Cost> costs = new ArrayList<>();
        out.println("peers  other centres  speaks to  cpu % of a core  sent B/s  received B/s  retained MiB");
        for (int peers : PEER_COUNTS) {
            for (int dataCentres : REMOTE_DATA_CENTRE_COUNTS) {
                Cost cost = measure(peers, dataCentres);
                costs.add(cost);
                out.printf(
                        "%5d  %13d  %9d  %15.3f  %8.0f  %12.0f  %12.2f%n",
                        peers,
                        dataCentres,
                        cost.node.linkedRemoteHostCount(),
                        cost.cpuPercent,
                        cost.sentBytesPerSecond,
                        cost.receivedBytesPerSecond,
                        cost.retainedMebibytes);
            }
        }
        printCostModels(out, costs);
        printMessageTypes(out, costs.get(REMOTE_DATA_CENTRE_COUNTS.length + REMOTE_DATA_CENTRE_COUNTS.length - 1));
        printStoreCalls(out);
    }

    private static void printStoreCalls(PrintStream out) {
        out.printf("%nstore calls a second of a whole fleet, store well, after %d s%n", WARM_UP_MILLIS / 1_000);
        out.println("data centres  hosts in each  calls/s  by part");
        for (int dataCentres : STORE_DATA_CENTRE_COUNTS) {
            for (int hosts : STORE_HOST_COUNTS) {
                VirtualFleet fleet = new VirtualFleet();
                for (int host = 0; host < dataCentres * hosts; host++) {
                    int dataCentre = host % dataCentres;
                    fleet.addHost("host-" + host, "region-" + dataCentre, "centre-" + dataCentre);
                }
                fleet.writeConfiguration(FleetDocuments.of(1, dataCentres, 3, 2).toText())
                        .publishHostList(0)
                        .advance(WARM_UP_MILLIS);
                fleet.storeCallsBySecond().clear();
                fleet.storeCallsByOwner().clear();
                fleet.advance(STORE_MEASUREMENT_MILLIS);
                int calls = fleet.storeCallsBySecond().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                out.printf(
                        "%12d  %13d  %7.2f  %s%n",
                        dataCentres,
                        hosts,
                        calls * 1_000.0 / STORE_MEASUREMENT_MILLIS,
                        new java.util.TreeMap<>(fleet.storeCallsByOwner()));
            }
        }
    }

    private static Cost measure(int peers, int dataCentres) {
        SingleNodeSimulation node =
                new SingleNodeSimulation(peers, dataCentres, TARGET_COUNT, SERVICE_COUNT, CLIENT_ACCOUNT_COUNT);
        node.advance(WARM_UP_MILLIS);
        node.resetCounters();
        node.advance(MEASUREMENT_MILLIS);
        double seconds = MEASUREMENT_MILLIS / 1_000.0;
        double cpuPercent = node.cpuNanos() / 1e9 / seconds * 100;
        long heapBytesWithNode = usedHeapBytes();
        node.releaseNode();
        double mebibytes = (heapBytesWithNode - usedHeapBytes()) / BYTES_PER_MEBIBYTE;
        return new Cost(
                peers,
                dataCentres,
                cpuPercent,
                node.bytesSent() / seconds,
                node.bytesReceived() / seconds,
                mebibytes,
                node);
    }

    private static void printCostModels(PrintStream out, List<Cost> costs) {
        double[] peers = costs.stream().mapToDouble(Cost::peers).toArray();
        double[] dataCentres =
                costs.stream().mapToDouble(Cost::remoteDataCentres).toArray();
        out.printf("%nfitted: cost = fixed + perPeer * peers + perCentre * other centres%n");
        out.println("what              fixed   perPeer  perCentre  at 4/81  at 8/81  at 20/81  goal");
        printCostModel(
                out, "cpu %", peers, dataCentres, costs.stream().mapToDouble(Cost::cpuPercent), GOAL_CPU_PERCENT);
        printCostModel(
                out,
                "sent B/s",
                peers,
                dataCentres,
                costs.stream().mapToDouble(Cost::sentBytesPerSecond),
                GOAL_BYTES_PER_SECOND);
        printCostModel(
                out,
                "received B/s",
                peers,
                dataCentres,
                costs.stream().mapToDouble(Cost::receivedBytesPerSecond),
                GOAL_BYTES_PER_SECOND);
        printCostModel(
                out,
                "retained MiB",
                peers,
                dataCentres,
                costs.stream().mapToDouble(Cost::retainedMebibytes),
                GOAL_MEBIBYTES);
    }

    private static void printCostModel(
            PrintStream out,
            String label,
            double[] peers,
            double[] dataCentres,
            java.util.stream.DoubleStream costs,
            double goal) {
        LinearCostModel model = LinearCostModel.fit(peers, dataCentres, costs.toArray());
        out.printf(
                "%-14s %8.3f  %8.3f  %9.4f  %7.2f  %7.2f  %8.2f  %.0f%n",
                label,
                model.fixed(),
                model.perPeer(),
                model.perDataCentre(),
                model.costAt(4, 81),
                model.costAt(8, 81),
                model.costAt(20, 81),
                goal);
    }

    private static void printMessageTypes(PrintStream out, Cost cost) {
        double seconds = MEASUREMENT_MILLIS / 1_000.0;
        out.printf("%nwith %d peers and %d other centres, by message, B/s%n", cost.peers, cost.remoteDataCentres);
        printMessageTypes(out, "sent", cost.node.sentBytes(), seconds);
        printMessageTypes(out, "received", cost.node.receivedBytes(), seconds);
        out.println("store calls a second of this node: ");
        cost.node.storeCalls().forEach((call, count) -> out.printf("  %s %.3f%n", call, count / seconds));
    }

    private static void printMessageTypes(PrintStream out, String direction, Map<String, Long> bytes, double seconds) {
        bytes.forEach((type, count) -> out.printf("  %s %s %.0f%n", direction, type, count / seconds));
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
