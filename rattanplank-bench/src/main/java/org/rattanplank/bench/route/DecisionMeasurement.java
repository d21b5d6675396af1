package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;
import org.rattanplank.core.route.Eligibility;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.core.route.Router;
import org.rattanplank.core.route.RoutingDecision;
import org.rattanplank.core.route.TargetLoad;

/**
 * Measures the time and the allocation of one routing decision, from admission to completion, with JMH
 * ({@code bin/measure decision}).
 *
 * <p>Confined to the benchmark's thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionMeasurement {
    private static final int ACCOUNTS = 3_100;
    private static final int REQUESTS = 4_096;
    private static final int REMOTE_REGIONS = 29;
    private static final String SERVICE = "plank-serve";

    /** The number of targets of the service in the region of the host. */
    @Param({"10", "100", "2000"})
    private int targets;

    private Router router;
    private Request[] requests;
    private Eligibility eligibility;
    private long nowMillis;
    private int nextRequest;

    /**
     * Runs the measurement.
     *
     * @param arguments none
     * @throws RunnerException if a benchmark cannot run
     */
    public static void main(String[] arguments) throws RunnerException {
        var options = new OptionsBuilder()
                .include(DecisionMeasurement.class.getSimpleName())
                .forks(1)
                .warmupIterations(3)
                .warmupTime(TimeValue.seconds(2))
                .measurementIterations(5)
                .measurementTime(TimeValue.seconds(2))
                .addProfiler(GCProfiler.class)
                .verbosity(org.openjdk.jmh.runner.options.VerboseMode.SILENT)
                .build();
        Map<Integer, Double> micros = new HashMap<>();
        for (RunResult result : new Runner(options).run()) {
            int count = Integer.parseInt(result.getParams().getParam("targets"));
            double time = result.getPrimaryResult().getScore();
            double error = result.getPrimaryResult().getScoreError();
            double bytes =
                    result.getSecondaryResults().get("gc.alloc.rate.norm").getScore();
            micros.put(count, time);
            System.out.printf(
                    Locale.ROOT, "decision targets %d micros %.2f error %.2f bytes %.0f%n", count, time, error, bytes);
        }
        double microsPerThousandTargets = (micros.get(2_000) - micros.get(100)) / 1.9;
        System.out.printf(Locale.ROOT, "decision slope micros per 1000 targets %.2f%n", microsPerThousandTargets);
    }

    /** Sets up a router with targets, load reports, regions and client accounts. */
    @Setup
    public void fill() {
        Location place = Location.of("suva", "suva-hall");
        router = Router.of(place, Policy.COST, 1);
        SplittableRandom random = new SplittableRandom(1);
        List<ListedHost> listed = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            listed.add(new ListedHost("t-" + i, HostRole.TARGET, place, "127.0.0.1", 1, 0, SERVICE, false));
        }
        router.updateTargets(listed, 0);
        Map<String, Account> accounts = new HashMap<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            accounts.put("a-" + i, new Account("a-" + i, "", "suva", "suva-hall", "", 1));
        }
        Service service = new Service(SERVICE, true, "", true, true);
        router.applyConfiguration(
                new Configuration(1, "", Map.of(SERVICE, service), accounts, Map.of(), Map.of(), Set.of()), 0);
        listed.forEach(target -> router.recordLoadReport(
                new TargetLoad(target.name(), SERVICE, List.of(), random.nextInt(9), 0, 8, 40, 45_000, false, 0), 0));
        router.updateRegions(regions(), 0);
        requests = new Request[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            requests[i] = request(i, random);
        }
        Set<String> allowed = new java.util.HashSet<>(List.of("suva"));
        regions().forEach(region -> allowed.add(region.region()));
        eligibility = new Eligibility(allowed, true, Set.of());
    }

    /**
     * Admits one request, chooses its route, starts it and finishes it.
     *
     * @return the routing decision
     */
    @Benchmark
    public RoutingDecision decide() {
        nowMillis++;
        Request request = requests[nextRequest++ & (REQUESTS - 1)];
        router.admit(request, nowMillis);
        RoutingDecision routing = router.choose(request, eligibility, nowMillis);
        if (routing instanceof RoutingDecision.Dispatch go) {
            router.recordStart(request, go.route(), nowMillis);
        }
        router.recordFinish(request, nowMillis);
        return routing;
    }

    private static List<RemoteRegion> regions() {
        List<RemoteRegion> regions = new ArrayList<>();
        for (int i = 0; i < REMOTE_REGIONS; i++) {
            var load = new RemoteRegion.ServiceLoad(70, 560, 300, 0, 0);
            regions.add(new RemoteRegion("region-" + i, List.of("h-" + i), Map.of(SERVICE, load)));
        }
        return regions;
    }

    private static Request request(int number, SplittableRandom random) {
        List<Long> prefixes = new ArrayList<>();
        long manual = random.nextInt(500) * 100L;
        for (int i = 0; i < 5; i++) {
            prefixes.add(manual + i);
        }
        prefixes.add(1_000_000L + number);
        return new Request(
                "r-" + number,
                "a-" + random.nextInt(ACCOUNTS),
                SERVICE,
                WorkClass.INTERACTIVE,
                true,
                Option.none(),
                "suva",
                Option.none(),
                Long.MAX_VALUE / 4,
                6_000,
                200,
                prefixes,
                true,
                List.of(),
                false,
                Fingerprint.ofIdentifier("r-" + number));
    }
}
