package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.rattanplank.core.request.WorkClass;

/** Generates the requests of a run from a seed, so that all policies get the same load. Confined to one thread. */
final class Arrivals {
    /** The share of requests whose residency allows only the home region. */
    private static final double HOME_ONLY_SHARE = 0.11;

    private static final int ACCOUNTS_PER_REGION = 12;
    private static final int HOSTS_PER_REGION = 2;
    private static final double PLAIN_LOAD = 0.05;
    private static final long STEP_MILLIS = 100;

    private final Deployment deployment;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final List<Arrival> arrivals = new ArrayList<>();
    private long nextUniquePrefix = 1L << 40;

    private Arrivals(Deployment deployment, Scenario scenario, long seed) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    static List<Arrival> of(Deployment deployment, Scenario scenario, long seed) {
        Arrivals generator = new Arrivals(deployment, scenario, seed);
        for (int region = 0; region < deployment.regions.size(); region++) {
            for (long at = 0; at < Scenario.RUN_MILLIS; at += STEP_MILLIS) {
                generator.generateStep(region, at);
            }
        }
        generator.arrivals.sort(Comparator.comparingLong(Arrival::atMillis).thenComparing(Arrival::number));
        return generator.arrivals;
    }

    private void generateStep(int region, long atMillis) {
        double load = scenario.load(region, atMillis);
        int modelRequests = poisson(load * requestsPerStep(deployment.model, region));
        for (int i = 0; i < modelRequests; i++) {
            arrivals.add(modelArrival(region, atMillis + random.nextLong(STEP_MILLIS)));
        }
        int plainRequests = poisson(PLAIN_LOAD * requestsPerStep(deployment.plain, region));
        for (int i = 0; i < plainRequests; i++) {
            arrivals.add(plainArrival(region, atMillis + random.nextLong(STEP_MILLIS)));
        }
    }

    /** Returns the number of requests that a region's targets can serve in one step. */
    private double requestsPerStep(ServiceProfile service, int region) {
        double slots = (double) service.targetsPerRegion()[region] * service.slots() * scenario.capacityFactor(region);
        return slots * STEP_MILLIS / service.nominalServiceMillis();
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }

    private Arrival modelArrival(int region, long atMillis) {
        Deployment.WorkProfile work = drawWork();
        return new Arrival(
                arrivals.size(),
                atMillis,
                region,
                random.nextInt(HOSTS_PER_REGION),
                drawAccount(region),
                deployment.model,
                work.workClass(),
                random.nextDouble() >= HOME_ONLY_SHARE,
                work.promptTokens(),
                work.maxTokens(),
                (int) (work.maxTokens() * (0.2 + 0.6 * random.nextDouble())),
                work.maxWaitMillis(),
                drawPrefixes(region, work));
    }

    private Arrival plainArrival(int region, long atMillis) {
        return new Arrival(
                arrivals.size(),
                atMillis,
                region,
                random.nextInt(HOSTS_PER_REGION),
                drawAccount(region),
                deployment.plain,
                WorkClass.INTERACTIVE,
                random.nextDouble() >= HOME_ONLY_SHARE,
                0,
                0,
                0,
                5_000,
                List.of());
    }

    private Deployment.WorkProfile drawWork() {
        double draw = random.nextDouble();
        for (Deployment.WorkProfile work : deployment.work) {
            draw -= work.share();
            if (draw < 0) {
                return work;
            }
        }
        return deployment.work.get(0);
    }

    private String drawAccount(int region) {
        if (random.nextDouble() < scenario.heavyAccountShare()) {
            return "heavy";
        }
        return deployment.regions.get(region) + "-" + random.nextInt(ACCOUNTS_PER_REGION);
    }

    /** Returns prefixes; prompts on one manual share all but the last, and some manuals are used more often. */
    private List<Long> drawPrefixes(int region, Deployment.WorkProfile work) {
        double skewedFraction = random.nextDouble() * (0.4 + 0.6 * random.nextDouble());
        long manual = 1 + (long) (skewedFraction * deployment.prefixes.documentsPerRegion());
        long base = (region + 1) * 1_000_000L + work.promptTokens() * 100_000_000L + manual * 100;
        List<Long> prefixes = new ArrayList<>();
        for (int block = 0; block < deployment.prefixes.blocksPerPrompt() - 1; block++) {
            prefixes.add(base + block);
        }
        prefixes.add(nextUniquePrefix++);
        return prefixes;
    }
}
