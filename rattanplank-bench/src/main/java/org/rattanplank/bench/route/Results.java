package org.rattanplank.bench.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.rattanplank.core.request.WorkClass;

/**
 * Collects the outcomes of a run and computes its metrics.
 *
 * <p>Invariant: each arrival has exactly one outcome; in the latency percentiles, an arrival without a response counts
 * with the full time that its caller waits. Confined to one thread.
 */
final class Results {
    private static final long RECOVERY_WINDOW_MILLIS = 5_000;
    private static final long RECOVERY_STEP_MILLIS = 1_000;
    private static final double RECOVERED_RATIO = 0.95;
    private static final double FAIRNESS_TOLERANCE = 0.05;

    private final Map<Arrival, Latencies> answered = new HashMap<>();
    private final Map<String, Double> metrics = new TreeMap<>();
    private long sent;
    private long attempts;
    private long forwards;
    private long answeredElsewhere;
    private long rejected;
    private long unknown;

    void recordSent() {
        sent++;
    }

    /** Counts an attempt, except the first attempt of a second host, which continues the first host's attempt. */
    void recordAttempt(boolean forwarded, int attempt) {
        attempts += forwarded && attempt == 1 ? 0 : 1;
    }

    void recordForward() {
        forwards++;
    }

    void recordAnswered(Arrival arrival, int region, long firstTokenMillis, long endMillis) {
        answered.put(arrival, new Latencies(firstTokenMillis - arrival.atMillis(), endMillis - arrival.atMillis()));
        answeredElsewhere += region == arrival.region() ? 0 : 1;
    }

    void recordRejected(Arrival arrival) {
        rejected++;
    }

    void recordUnknown(Arrival arrival) {
        unknown++;
    }

    Map<String, Double> metrics() {
        return metrics;
    }

    void computeMetrics(
            List<Arrival> arrivals, Collection<StandInTarget> targets, long interRegionDelayMillis, Scenario scenario) {
        double count = Math.max(1, answered.size());
        double busySeconds =
                targets.stream().mapToDouble(StandInTarget::busyMillis).sum() / 1_000;
        double cost = busySeconds + forwards * 2 * interRegionDelayMillis / 1_000.0;
        metrics.put("requests", (double) arrivals.size());
        metrics.put("cost-seconds-per-100-answers", 100 * cost / count);
        metrics.put("share-away", answeredElsewhere / count);
        metrics.put("share-refused", rejected / (double) arrivals.size());
        metrics.put("share-late", unknown / (double) arrivals.size());
        metrics.put("attempts-per-request", attempts / (double) sent);
        double prompts = targets.stream().mapToLong(StandInTarget::promptTokens).sum();
        double cachedTokens =
                targets.stream().mapToLong(StandInTarget::cachedPromptTokens).sum();
        metrics.put("prefix-cache-hits", cachedTokens / Math.max(1, prompts));
        percentiles("first-token", arrivals, arrival -> arrival.service().hasModelEngines(), true);
        percentiles("whole", arrivals, arrival -> arrival.service().hasModelEngines(), false);
        percentiles(
                "interactive-whole",
                arrivals,
                arrival -> arrival.service().hasModelEngines() && arrival.workClass() == WorkClass.INTERACTIVE,
                false);
        metrics.put("unfair-accounts", unfairAccounts(arrivals));
        scenario.faultEndMillis().ifPresent(end -> metrics.put("recovery-seconds", recoverySeconds(arrivals, end)));
    }

    private void percentiles(String name, List<Arrival> arrivals, Predicate<Arrival> filter, boolean first) {
        long[] times = arrivals.stream()
                .filter(filter)
                .mapToLong(arrival -> {
                    Latencies latencies = answered.get(arrival);
                    if (latencies == null) {
                        return arrival.maxWaitMillis();
                    }
                    return first ? latencies.firstTokenMillis() : latencies.completionMillis();
                })
                .sorted()
                .toArray();
        for (int percent : new int[] {50, 95, 99}) {
            int at = Math.max(0, (int) Math.ceil(times.length * percent / 100.0) - 1);
            metrics.put(name + "-p" + percent + "-ms", times.length == 0 ? 0.0 : times[at]);
        }
    }

    /** Returns the seconds from a fault's end until a window reaches 95% of the answered share before the fault. */
    private double recoverySeconds(List<Arrival> arrivals, long faultEndMillis) {
        double answeredShareBefore = answeredShare(arrivals, 20_000, 80_000);
        for (long at = faultEndMillis; at < Scenario.RUN_MILLIS - RECOVERY_WINDOW_MILLIS; at += RECOVERY_STEP_MILLIS) {
            if (answeredShare(arrivals, at, at + RECOVERY_WINDOW_MILLIS) >= RECOVERED_RATIO * answeredShareBefore) {
                return (at - faultEndMillis) / 1_000.0;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private double answeredShare(List<Arrival> arrivals, long fromMillis, long untilMillis) {
        long all = 0;
        long answeredCount = 0;
        for (Arrival arrival : arrivals) {
            if (arrival.atMillis() >= fromMillis && arrival.atMillis() < untilMillis) {
                all++;
                answeredCount += answered.containsKey(arrival) ? 1 : 0;
            }
        }
        return all == 0 ? 1 : answeredCount / (double) all;
    }

    /**
     * Returns the number of client accounts that got less than they requested and less than their fair share, while
     * another account of the same region got more than its share. Each region distributes the capacity of its own
     * targets, so accounts are compared within their region.
     */
    private double unfairAccounts(List<Arrival> arrivals) {
        double unfair = 0;
        for (int region : arrivals.stream().map(Arrival::region).distinct().toList()) {
            unfair += unfairAccounts(arrivals, region);
        }
        return unfair;
    }

    private double unfairAccounts(List<Arrival> arrivals, int region) {
        Map<String, double[]> accounts = new TreeMap<>();
        for (Arrival arrival : arrivals) {
            if (arrival.service().hasModelEngines() && arrival.region() == region) {
                double[] counts = accounts.computeIfAbsent(arrival.account(), account -> new double[2]);
                counts[0]++;
                counts[1] += answered.containsKey(arrival) ? 1 : 0;
            }
        }
        double level = fairLevel(accounts.values());
        boolean anyAbove = accounts.values().stream().anyMatch(counts -> counts[1] > level * (1 + FAIRNESS_TOLERANCE));
        if (!anyAbove) {
            return 0;
        }
        return accounts.values().stream()
                .filter(counts -> counts[1] < Math.min(counts[0], level) * (1 - FAIRNESS_TOLERANCE))
                .count();
    }

    private static double fairLevel(Collection<double[]> accounts) {
        double served = accounts.stream().mapToDouble(counts -> counts[1]).sum();
        double low = 0;
        double high = accounts.stream().mapToDouble(counts -> counts[0]).max().orElse(0);
        for (int i = 0; i < 40; i++) {
            double level = (low + high) / 2;
            double sum = accounts.stream()
                    .mapToDouble(counts -> Math.min(counts[0], level))
                    .sum();
            if (sum > served) {
                high = level;
            } else {
                low = level;
            }
        }
        return high;
    }

    /**
     * The latencies of a response, from the sending of its request. Immutable and thread safe.
     *
     * @param firstTokenMillis the time to the first token
     * @param completionMillis the time to the end of the response
     */
    private record Latencies(long firstTokenMillis, long completionMillis) {}
}
