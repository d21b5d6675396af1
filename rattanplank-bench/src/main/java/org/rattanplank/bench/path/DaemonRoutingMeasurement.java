package org.rattanplank.bench.path;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.rattanplank.bench.process.Client;
import org.rattanplank.bench.process.Deployment;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.FleetOptions;
import org.rattanplank.bench.process.Host;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;

/**
 * Compares the policies through real daemons: the same seeded arrivals of drafts for each, one fleet after the other.
 *
 * <p>It shows that the order of the policies that virtual time gives holds with processes and sockets, for one scenario;
 * links here have no delay of their own. Run by one thread.
 */
public final class DaemonRoutingMeasurement {
    private static final List<String> POLICIES = List.of("random", "round-robin", "least-reported", "home-only");
    private static final String[] ENGINES = {
        "--slots", "4", "--token-millis", "20", "--prefill-tokens-per-step", "50", "--cache-tokens", "12000"
    };
    private static final int MANUALS = 12;
    private static final int MANUAL_WORDS = 600;
    private static final int PARTS = 40;
    private static final int CALLS = 400;
    private static final double CALLS_PER_SECOND = 16;
    private static final int[] SHARES = {60, 25, 15};
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final double NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    @Parameter(names = "--deployment", description = "koro or brazos")
    private String deployment = "koro";

    @Parameter(names = "--seed", description = "the seed of the arrivals")
    private long seed = 1;

    private DaemonRoutingMeasurement() {}

    /**
     * Measures and prints one line a policy.
     *
     * @param args the settings
     */
    public static void main(String[] args) {
        DaemonRoutingMeasurement measurement = new DaemonRoutingMeasurement();
        JCommander.newBuilder().addObject(measurement).build().parse(args);
        measurement.run();
    }

    private void run() {
        Deployment chosen =
                Deployment.of(deployment).getOrElseThrow(() -> new IllegalArgumentException("koro or brazos"));
        System.out.println("real daemons, " + CALLS + " drafts at " + CALLS_PER_SECOND
                + "/s, 60/25/15 % by region, stand-in engines of 4 slots, seed " + seed);
        List<String> policies = new ArrayList<>(POLICIES);
        policies.add(chosen == Deployment.KORO ? "cost" : "tail");
        policies.forEach(policy -> measure(chosen, policy));
    }

    private void measure(Deployment chosen, String policy) {
        FleetOptions options =
                FleetOptions.of(chosen).withTargetSettings(ENGINES).withHostSettings("--policy", policy);
        try (Fleet fleet = Fleet.start(options)) {
            Histogram wholeMillis = new ConcurrentHistogram(TIMEOUT.toMillis() * 2, 3);
            List<CompletableFuture<CallResult>> results = new ArrayList<>();
            List<Client> homes = new ArrayList<>();
            Random random = new Random(seed);
            long nextNanos = System.nanoTime();
            for (int i = 0; i < CALLS; i++) {
                nextNanos += (long) (-Math.log(1 - random.nextDouble()) / CALLS_PER_SECOND * NANOS_PER_SECOND);
                LockSupport.parkNanos(nextNanos - System.nanoTime());
                Client client = client(chosen, random);
                homes.add(client);
                results.add(start(fleet, chosen, client, i, random, wholeMillis));
            }
            print(policy, results.stream().map(CompletableFuture::join).toList(), homes, wholeMillis);
        }
    }

    private static Client client(Deployment chosen, Random random) {
        int percent = random.nextInt(100);
        int index = percent < SHARES[0] ? 0 : percent < SHARES[0] + SHARES[1] ? 1 : 2;
        return chosen.clients().get(index);
    }

    private static CompletableFuture<CallResult> start(
            Fleet fleet, Deployment chosen, Client client, int number, Random random, Histogram wholeMillis) {
        List<Host> hosts = fleet.hostsOf(client.homeDataCentre());
        Host host = hosts.get(random.nextInt(hosts.size()));
        String manual = ("manual " + client.account() + random.nextInt(MANUALS) + " ").repeat(MANUAL_WORDS / 3);
        CallRequest call = CallRequest.draft("call-" + number, chosen.modelService(), manual, PARTS)
                .within(TIMEOUT);
        long startNanos = System.nanoTime();
        return Caller.of(client.token()).start(host.callers(), call).whenComplete((result, error) -> {
            long millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            boolean answered = error == null && result.outcome() == CallOutcome.ANSWERED;
            wholeMillis.recordValue(answered ? millis : TIMEOUT.toMillis());
        });
    }

    private static void print(String policy, List<CallResult> results, List<Client> homes, Histogram wholeMillis) {
        int answered = 0;
        int away = 0;
        for (int i = 0; i < results.size(); i++) {
            if (results.get(i).outcome() == CallOutcome.ANSWERED) {
                answered++;
                away += results.get(i).path().contains("-" + homes.get(i).homeDataCentre() + "-") ? 0 : 1;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%s answered %d of %d, share-away %.3f, whole p50 %d ms, p95 %d ms, p99 %d ms%n",
                policy,
                answered,
                results.size(),
                away / (double) Math.max(1, answered),
                wholeMillis.getValueAtPercentile(50),
                wholeMillis.getValueAtPercentile(95),
                wholeMillis.getValueAtPercentile(99));
    }
}
