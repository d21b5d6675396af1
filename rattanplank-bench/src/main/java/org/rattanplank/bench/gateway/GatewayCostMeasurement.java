package org.rattanplank.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Measures the cost of a gateway host as the system grows. Real gateways run in one process, each with an event loop of
 * its own, and communicate over loopback connections with a stand-in store, replicas and callers.
 *
 * <p>The processor time is that of the event loops alone and is recorded after a warm-up, so it includes neither process
 * start nor JIT compilation. Confined to one thread.
 */
public final class GatewayCostMeasurement {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT_PER_UNIT = 100;

    private GatewayCostMeasurement() {}

    /**
     * Runs the measurement and prints one line for each size.
     *
     * @param args the command-line options
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        allowHostHeader();
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        for (int hosts : options.hosts) {
            System.out.println(measure(hosts, options));
        }
    }

    /**
     * Allows the JDK's HTTP client to set the Host header, as the host names that callers use cannot be resolved here. The
     * client reads this property once, when it is first used.
     */
    static void allowHostHeader() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private static String measure(int hosts, Options options) throws InterruptedException {
        try (GatewayFleet fleet = GatewayFleet.start(hosts, options.targetsPerHost)) {
            try (CallGenerator calls = CallGenerator.start(fleet.callerAddresses(), options.callsPerHost * hosts)) {
                Thread.sleep(options.warmUpSeconds * 1_000L);
                long startCpuNanos = fleet.cpuNanos();
                long startAnswered = calls.answered();
                long startNanos = System.nanoTime();
                Thread.sleep(options.seconds * 1_000L);
                double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
                double cores = (fleet.cpuNanos() - startCpuNanos) / NANOS_PER_SECOND / seconds / hosts;
                return String.format(
                        Locale.ROOT,
                        "%d hosts, %d targets: %.2f %% of a core a host; %.1f calls/s a host, %d not answered",
                        hosts,
                        fleet.targets(),
                        PERCENT_PER_UNIT * cores,
                        (calls.answered() - startAnswered) / seconds / hosts,
                        calls.failed());
            }
        }
    }

    /** Command-line options. Written by JCommander before any thread reads them and never changed afterwards. */
    private static final class Options {
        @Parameter(names = "--hosts", description = "the sizes to measure, separated by commas")
        private List<Integer> hosts = new ArrayList<>(List.of(6, 30, 90));

        @Parameter(names = "--targets-per-host", description = "replicas per host")
        private double targetsPerHost = 1.1;

        @Parameter(names = "--calls-per-host", description = "requests per second and host")
        private double callsPerHost = 10;

        @Parameter(names = "--warm-seconds", description = "duration of the warm-up")
        private int warmUpSeconds = 10;

        @Parameter(names = "--seconds", description = "duration of the measurement")
        private int seconds = 10;
    }
}
