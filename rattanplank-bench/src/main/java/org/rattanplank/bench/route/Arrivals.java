package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.rattanplank.core.request.WorkClass;

/** Makes the requests of one run from a seed, so that every policy meets the same ones. Confined to one thread. */
final class Arrivals {
    /** The part of requests that is bound to its home region. */
    private static final double HOME_BOUND_PART = 0.11;

    private static final int ACCOUNTS_BY_REGION = 12;
    private static final int HOSTS_BY_REGION = 2;
    private static final double PLAIN_LOAD = 0.05;
    private static final long STEP_MILLIS = 100;

    private final Deployment deployment;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final List<Arrival> arrivals = new ArrayList<>();
    private long uniquePrefix = 1L << 40;

    private Arrivals(Deployment deployment, Scenario scenario, long seed) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    static List<Arrival> of(Deployment deployment, Scenario scenario, long seed) {
        Arrivals made = new Arrivals(deployment, scenario, seed);
        for (int region = 0; region < deployment.regions.size(); region++) {
            for (long at = 0; at < Scenario.RUN_MILLIS; at += STEP_MILLIS) {
                made.step(region, at);
            }
        }
        made.arrivals.sort(Comparator.comparingLong(Arrival::atMillis).thenComparing(Arrival::number));
        return made.arrivals;
    }

    private void step(int region, long atMillis) {
        double load = scenario.load(region, atMillis);
        int models = poisson(load * perStep(deployment.model, region));
        for (int i = 0; i < models; i++) {
            arrivals.add(model(region, atMillis + random.nextLong(STEP_MILLIS)));
        }
        int plains = poisson(PLAIN_LOAD * perStep(deployment.plain, region));
        for (int i = 0; i < plains; i++) {
            arrivals.add(plain(region, atMillis + random.nextLong(STEP_MILLIS)));
        }
    }

    /** How many requests a region's targets can take in one step. */
    private double perStep(ServiceShape service, int region) {
        double slots = (double) service.targetsByRegion()[region] * service.slots() * scenario.capacityFactor(region);
        return slots * STEP_MILLIS / service.nominalRunMillis();
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

    private Arrival model(int region, long atMillis) {
        Deployment.Work work = work();
        return new Arrival(
                arrivals.size(),
                atMillis,
                region,
                random.nextInt(HOSTS_BY_REGION),
                account(region),
                deployment.model,
                work.workClass(),
                random.nextDouble() >= HOME_BOUND_PART,
                work.promptTokens(),
                work.maxTokens(),
                (int) (work.maxTokens() * (0.2 + 0.6 * random.nextDouble())),
                work.patienceMillis(),
                prefixes(region, work));
    }

    private Arrival plain(int region, long atMillis) {
        return new Arrival(
                arrivals.size(),
                atMillis,
                region,
                random.nextInt(HOSTS_BY_REGION),
                account(region),
                deployment.plain,
                WorkClass.INTERACTIVE,
                random.nextDouble() >= HOME_BOUND_PART,
                0,
                0,
                0,
                5_000,
                List.of());
    }

    private Deployment.Work work() {
        double place = random.nextDouble();
        for (Deployment.Work work : deployment.work) {
            place -= work.part();
            if (place < 0) {
                return work;
            }
        }
        return deployment.work.get(0);
    }

    private String account(int region) {
        if (random.nextDouble() < scenario.heavyPart()) {
            return "heavy";
        }
        return deployment.regions.get(region) + "-" + random.nextInt(ACCOUNTS_BY_REGION);
    }

    /** All blocks but the last are shared by the prompts on one manual; some manuals are read more than others. */
    private List<Long> prefixes(int region, Deployment.Work work) {
        double skewed = random.nextDouble() * (0.4 + 0.6 * random.nextDouble());
        long manual = 1 + (long) (skewed * deployment.prefixes.byRegion());
        long base = (region + 1) * 1_000_000L + work.promptTokens() * 100_000_000L + manual * 100;
        List<Long> prefixes = new ArrayList<>();
        for (int block = 0; block < deployment.prefixes.blocks() - 1; block++) {
            prefixes.add(base + block);
        }
        prefixes.add(uniquePrefix++);
        return prefixes;
    }
}
