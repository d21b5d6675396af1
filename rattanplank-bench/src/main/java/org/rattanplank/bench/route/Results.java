package org.rattanplank.bench.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.rattanplank.core.request.WorkClass;

/**
 * Collects the outcomes of one run and works out its metrics.
 *
 * <p>Invariant: each arrival has one outcome; in the percentiles of times, one that was refused or late counts with its
 * caller's whole patience. Confined to one thread.
 */
final class Results {
    private static final long RECOVERY_WINDOW_MILLIS = 5_000;
    private static final long STEP_MILLIS = 1_000;
    private static final double RECOVERED = 0.95;
    private static final double FAIR_TOLERANCE = 0.05;

    private final Map<Arrival, Times> answered = new HashMap<>();
    private final Map<String, Double> metrics = new TreeMap<>();
    private long asked;
    private long attempts;
    private long crossings;
    private long away;
    private long refused;
    private long late;

    void asked() {
        asked++;
    }

    /** Counts attempts: all of the first host, and those of a second host after its first. */
    void attempted(boolean forwarded, int attempt) {
        attempts += forwarded && attempt == 1 ? 0 : 1;
    }

    void crossed() {
        crossings++;
    }

    void answered(Arrival arrival, int region, long firstTokenMillis, long endMillis) {
        answered.put(arrival, new Times(firstTokenMillis - arrival.atMillis(), endMillis - arrival.atMillis()));
        away += region == arrival.region() ? 0 : 1;
    }

    void refused(Arrival arrival) {
        refused++;
    }

    void late(Arrival arrival) {
        late++;
    }

    Map<String, Double> metrics() {
        return metrics;
    }

    void end(List<Arrival> arrivals, Collection<StandInTarget> targets, long crossingMillis, Scenario scenario) {
        double count = Math.max(1, answered.size());
        double busySeconds =
                targets.stream().mapToDouble(StandInTarget::busyMillis).sum() / 1_000;
        double cost = busySeconds + crossings * 2 * crossingMillis / 1_000.0;
        metrics.put("requests", (double) arrivals.size());
        metrics.put("cost-seconds-per-100-answers", 100 * cost / count);
        metrics.put("share-away", away / count);
        metrics.put("share-refused", refused / (double) arrivals.size());
        metrics.put("share-late", late / (double) arrivals.size());
        metrics.put("attempts-per-request", attempts / (double) asked);
        double prompts = targets.stream().mapToLong(StandInTarget::promptTokens).sum();
        double hits = targets.stream().mapToLong(StandInTarget::hitTokens).sum();
        metrics.put("prefix-cache-hits", hits / Math.max(1, prompts));
        percentiles("first-token", arrivals, arrival -> arrival.service().model(), true);
        percentiles("whole", arrivals, arrival -> arrival.service().model(), false);
        percentiles(
                "interactive-whole",
                arrivals,
                arrival -> arrival.service().model() && arrival.workClass() == WorkClass.INTERACTIVE,
                false);
        metrics.put("unfair-accounts", unfairAccounts(arrivals));
        scenario.faultEndMillis().ifPresent(end -> metrics.put("recovery-seconds", recoverySeconds(arrivals, end)));
    }

    private void percentiles(String name, List<Arrival> arrivals, Predicate<Arrival> counted, boolean first) {
        long[] times = arrivals.stream()
                .filter(counted)
                .mapToLong(arrival -> {
                    Times found = answered.get(arrival);
                    if (found == null) {
                        return arrival.patienceMillis();
                    }
                    return first ? found.firstTokenMillis() : found.wholeMillis();
                })
                .sorted()
                .toArray();
        for (int percent : new int[] {50, 95, 99}) {
            int at = Math.max(0, (int) Math.ceil(times.length * percent / 100.0) - 1);
            metrics.put(name + "-p" + percent + "-ms", times.length == 0 ? 0.0 : times[at]);
        }
    }

    /** Seconds from a fault's end until a window has 95% of the part answered in time that it had before the fault. */
    private double recoverySeconds(List<Arrival> arrivals, long faultEndMillis) {
        double before = goodPart(arrivals, 20_000, 80_000);
        for (long at = faultEndMillis; at < Scenario.RUN_MILLIS - RECOVERY_WINDOW_MILLIS; at += STEP_MILLIS) {
            if (goodPart(arrivals, at, at + RECOVERY_WINDOW_MILLIS) >= RECOVERED * before) {
                return (at - faultEndMillis) / 1_000.0;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private double goodPart(List<Arrival> arrivals, long fromMillis, long untilMillis) {
        long all = 0;
        long good = 0;
        for (Arrival arrival : arrivals) {
            if (arrival.atMillis() >= fromMillis && arrival.atMillis() < untilMillis) {
                all++;
                good += answered.containsKey(arrival) ? 1 : 0;
            }
        }
        return all == 0 ? 1 : good / (double) all;
    }

    /**
     * Accounts that got less than they asked for and less than their fair share, while another of the same region got
     * more than its own; regions share out their own targets, so accounts are compared within their region.
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
            if (arrival.service().model() && arrival.region() == region) {
                double[] counts = accounts.computeIfAbsent(arrival.account(), account -> new double[2]);
                counts[0]++;
                counts[1] += answered.containsKey(arrival) ? 1 : 0;
            }
        }
        double level = fairLevel(accounts.values());
        boolean anyAbove = accounts.values().stream().anyMatch(counts -> counts[1] > level * (1 + FAIR_TOLERANCE));
        if (!anyAbove) {
            return 0;
        }
        return accounts.values().stream()
                .filter(counts -> counts[1] < Math.min(counts[0], level) * (1 - FAIR_TOLERANCE))
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
     * When an answer came, counted from when its request was asked. Immutable and thread safe.
     *
     * @param firstTokenMillis until the first token
     * @param wholeMillis until the end
     */
    private record Times(long firstTokenMillis, long wholeMillis) {}
}
