package org.rattanplank.core.route;

import java.util.List;

import org.rattanplank.core.host.Rendezvous;

/**
 * What the router knows of one target.
 *
 * <p>Invariant: a target that is no longer listed, or that says that it is leaving, takes no new work for good; when its
 * name is listed anew, it gets a new object with an empty cache. Confined to the router's lock.
 */
final class Target {
    /** How many requests a target is taken to run at once before it has said so. */
    static final int DEFAULT_SLOTS = 8;

    /** Reports missed in a row after which a target is taken to have restarted with an empty cache. */
    static final int MISSES = 3;

    private static final double COLD_SHARE = 0.25;
    private static final double WARM_UP_PER_SECOND = 0.25;

    final String name;
    final String service;
    final long seed;
    final LoadEstimate load = new LoadEstimate();
    final PrefixCache cache = new PrefixCache();
    final Ejection ejection = new Ejection();
    private Ramp warmth;
    private List<String> models = List.of();
    private int slots = DEFAULT_SLOTS;
    private double tokensPerSecond;
    private double reportedDepth;
    private int misses;
    private boolean takesWork = true;
    private boolean servesWanted = true;

    private Target(String name, String service, Ramp warmth) {
        this.name = name;
        this.service = service;
        this.seed = Rendezvous.mix(name.hashCode());
        this.warmth = warmth;
    }

    static Target warm(String name, String service, long nowMillis) {
        return new Target(name, service, Ramp.at(1, WARM_UP_PER_SECOND, nowMillis));
    }

    static Target cold(String name, String service, long nowMillis) {
        return new Target(name, service, coldRamp(nowMillis));
    }

    private static Ramp coldRamp(long nowMillis) {
        return Ramp.at(COLD_SHARE, WARM_UP_PER_SECOND, nowMillis).towards(1, nowMillis);
    }

    boolean takesWork() {
        return takesWork && servesWanted;
    }

    boolean hasModel(String wantedVersion) {
        return models.contains(wantedVersion);
    }

    double tokensPerSecond() {
        return tokensPerSecond;
    }

    /** Running and waiting requests for each slot, as last reported. */
    double reportedDepth() {
        return reportedDepth;
    }

    /** How many requests run at once, fewer while the target warms up. */
    double slots(long nowMillis) {
        return Math.max(1, slots * warmth.value(nowMillis));
    }

    boolean isWarmingAndFull(long nowMillis) {
        return warmth.value(nowMillis) < 1 && load.load() >= slots(nowMillis);
    }

    double waitMillis(double meanRunMillis, double share, long nowMillis) {
        double usable = Math.max(1, slots(nowMillis) * share);
        return Math.max(0, load.load() + 1 - usable) / usable * meanRunMillis;
    }

    /** Takes a report, and tells whether the target's models or its will to work have changed. */
    boolean reported(TargetLoad report, long nowMillis) {
        if (misses >= MISSES) {
            cache.clear();
            warmth = coldRamp(nowMillis);
        }
        misses = 0;
        boolean changes = report.leaving() == takesWork || !report.models().equals(models);
        takesWork &= !report.leaving();
        models = report.models();
        slots = Math.max(1, report.slots());
        tokensPerSecond = report.tokensPerSecond();
        reportedDepth = (report.running() + report.queued()) / (double) slots;
        cache.holdsAtMost(report.cacheTokens());
        load.reported(report.running() + report.queued(), report.reportedAtMillis());
        return changes;
    }

    int missed() {
        cache.doubt();
        return ++misses;
    }

    void unlisted() {
        takesWork = false;
    }

    void servesWanted(boolean serves) {
        servesWanted = serves;
    }
}
