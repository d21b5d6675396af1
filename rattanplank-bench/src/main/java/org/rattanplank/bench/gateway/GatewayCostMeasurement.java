package org.rattanplank.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Measures what a gateway host costs as the system grows: real gateways in one process, each with an event loop of its
 * own, over loopback connections, with a stand-in store, replicas and callers beside them.
 *
 * <p>The processor time is that of the event loops alone, taken after a time of warming up, so it holds neither the
 * start of a process nor its compiler. Run by one thread.
 */
public final class GatewayCostMeasurement {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PER_CENT = 100;

    private GatewayCostMeasurement() {}

    /**
     * Measures and prints one line a size.
     *
     * @param args the options
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        allowHostHeaders();
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        for (int hosts : options.hosts) {
            System.out.println(line(hosts, options));
        }
    }

    /**
     * Lets the JDK's client set the host name that callers address; no name service knows it here. The client reads this
     * once, when it is first used.
     */
    static void allowHostHeaders() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private static String line(int hosts, Options options) throws InterruptedException {
        try (GatewayFleet fleet = GatewayFleet.start(hosts, options.targetsPerHost)) {
            try (CallStream calls = CallStream.start(fleet.callerAddresses(), options.callsPerHost * hosts)) {
                Thread.sleep(options.warmSeconds * 1_000L);
                long cpuNanos = fleet.cpuNanos();
                long answered = calls.answered();
                long startedNanos = System.nanoTime();
                Thread.sleep(options.seconds * 1_000L);
                double seconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
                double cores = (fleet.cpuNanos() - cpuNanos) / NANOS_PER_SECOND / seconds / hosts;
                return String.format(
                        Locale.ROOT,
                        "%d hosts, %d targets: %.2f %% of a core a host; %.1f calls/s a host, %d not answered",
                        hosts,
                        fleet.targets(),
                        PER_CENT * cores,
                        (calls.answered() - answered) / seconds / hosts,
                        calls.failed());
            }
        }
    }

    /** The options. Written by JCommander before any thread reads them, then left alone. */
    private static final class Options {
        @Parameter(names = "--hosts", description = "the sizes to measure, separated by commas")
        private List<Integer> hosts = new ArrayList<>(List.of(6, 30, 90));

        @Parameter(names = "--targets-per-host", description = "replicas for each host")
        private double targetsPerHost = 1.1;

        @Parameter(names = "--calls-per-host", description = "requests a second for each host")
        private double callsPerHost = 10;

        @Parameter(names = "--warm-seconds", description = "time before the measurement")
        private int warmSeconds = 10;

        @Parameter(names = "--seconds", description = "time of the measurement")
        private int seconds = 10;
    }
}
