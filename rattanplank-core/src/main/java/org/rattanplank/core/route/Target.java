package org.rattanplank.core.route;

import java.util.List;

import org.rattanplank.core.host.RendezvousHashing;

/**
 * The router's view of one target.
 *
 * <p>Invariant: a target that is no longer listed, or that reports that it is leaving, never accepts requests again;
 * when its name is listed again, a new object with an empty cache estimate is created. Guarded by the router's lock.
 */
final class Target {
    /** The number of concurrent requests assumed for a target before its first load report. */
    static final int DEFAULT_SLOTS = 8;

    /** Consecutive missed load reports after which a target is assumed to have restarted with an empty cache. */
    static final int MAX_MISSED_REPORTS = 3;

    private static final double COLD_CAPACITY_SHARE = 0.25;
    private static final double WARM_UP_PER_SECOND = 0.25;

    final String name;
    final String service;
    final long seed;
    final LoadEstimate load = new LoadEstimate();
    final PrefixCacheEstimate cache = new PrefixCacheEstimate();
    final Ejection ejection = new Ejection();
    private Ramp warmUpShare;
    private List<String> models = List.of();
    private int slots = DEFAULT_SLOTS;
    private double tokensPerSecond;
    private double reportedLoadPerSlot;
    private int missedReports;
    private boolean acceptsRequests = true;
    private boolean servesWantedVersion = true;

    private Target(String name, String service, Ramp warmUpShare) {
        this.name = name;
        this.service = service;
        this.seed = RendezvousHashing.mix(name.hashCode());
        this.warmUpShare = warmUpShare;
    }

    static Target warm(String name, String service, long nowMillis) {
        return new Target(name, service, Ramp.at(1, WARM_UP_PER_SECOND, nowMillis));
    }

    static Target cold(String name, String service, long nowMillis) {
        return new Target(name, service, coldRamp(nowMillis));
    }

    private static Ramp coldRamp(long nowMillis) {
        return Ramp.at(COLD_CAPACITY_SHARE, WARM_UP_PER_SECOND, nowMillis).rampTo(1, nowMillis);
    }

    boolean acceptsRequests() {
        return acceptsRequests && servesWantedVersion;
    }

    /** Returns whether it may be sent a request even as a last resort. */
    boolean mayReceive(long nowMillis) {
        return acceptsRequests() && ejection.pauseMillis(nowMillis) == 0;
    }

    boolean hasModel(String wantedVersion) {
        return models.contains(wantedVersion);
    }

    double tokensPerSecond() {
        return tokensPerSecond;
    }

    /** Returns the running and queued requests per slot, as last reported. */
    double reportedLoadPerSlot() {
        return reportedLoadPerSlot;
    }

    /** Returns how many requests the target runs concurrently, fewer while it warms up. */
    double slots(long nowMillis) {
        return Math.max(1, slots * warmUpShare.value(nowMillis));
    }

    boolean isWarmingUpAndFull(long nowMillis) {
        return warmUpShare.value(nowMillis) < 1 && load.load() >= slots(nowMillis);
    }

    double queueWaitMillis(double meanRunMillis, double capacityShare, long nowMillis) {
        double usableSlots = Math.max(1, slots(nowMillis) * capacityShare);
        return Math.max(0, load.load() + 1 - usableSlots) / usableSlots * meanRunMillis;
    }

    /** Applies a load report, and returns whether the loaded models or the leaving state have changed. */
    boolean recordReport(TargetLoad report, long nowMillis) {
        if (missedReports >= MAX_MISSED_REPORTS) {
            cache.clear();
            warmUpShare = coldRamp(nowMillis);
        }
        missedReports = 0;
        boolean hasChanged =
                report.leaving() == acceptsRequests || !report.models().equals(models);
        acceptsRequests &= !report.leaving();
        models = report.models();
        slots = Math.max(1, report.slots());
        tokensPerSecond = report.tokensPerSecond();
        reportedLoadPerSlot = (report.running() + report.queued()) / (double) slots;
        cache.limitTokens(report.cacheTokens());
        load.recordReport(report.running() + report.queued(), report.reportedAtMillis());
        return hasChanged;
    }

    int recordMissedReport() {
        cache.reduceConfidence();
        return ++missedReports;
    }

    void markUnlisted() {
        acceptsRequests = false;
    }

    void servesWantedVersion(boolean serves) {
        servesWantedVersion = serves;
    }
}
