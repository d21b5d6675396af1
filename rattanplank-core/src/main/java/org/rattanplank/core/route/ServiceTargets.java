package org.rattanplank.core.route;

import java.util.Arrays;
import java.util.Comparator;

/**
 * The targets of one service in this region, ordered by name, with the statistics of the service.
 *
 * <p>Invariant: at most half of the targets are ejected at once. The totals over all targets are recomputed at most
 * every {@link #REFRESH_MILLIS} and corrected by this host's own requests in between. Guarded by the router's lock.
 */
final class ServiceTargets {
    static final long REFRESH_MILLIS = 100;

    final WorkEstimate workEstimate = new WorkEstimate();
    final WorkClassMix classMix = new WorkClassMix();
    final SpilloverGate spilloverGate;
    private Target[] targets = {};
    private long[] seeds = {};
    private String wantedVersion = "";
    private double slots;
    private int load;
    private int excluded;
    private long refreshDueMillis = Long.MIN_VALUE;

    ServiceTargets(Policy policy) {
        spilloverGate = SpilloverGate.closed(policy);
    }

    Target[] targets() {
        return targets;
    }

    /** Returns the targets' rendezvous seeds in the same order, in one array for a fast scan. */
    long[] seeds() {
        return seeds;
    }

    int size() {
        return targets.length;
    }

    /** Returns the number of targets that are ejected or accept no requests, as of the last refresh. */
    int excludedCount() {
        return excluded;
    }

    void targets(Target[] newTargets, long nowMillis) {
        targets = newTargets.clone();
        Arrays.sort(targets, Comparator.comparing(target -> target.name));
        seeds = new long[targets.length];
        Arrays.setAll(seeds, i -> targets[i].seed);
        keepHalfAvailable(nowMillis);
        filterByVersion();
        refreshDueMillis = Long.MIN_VALUE;
    }

    void wantedVersion(String version) {
        wantedVersion = version;
        filterByVersion();
    }

    /**
     * Excludes the targets that have not loaded the wanted version, unless none has: while the first target is still
     * loading, an answer of an old version is preferred to none.
     */
    void filterByVersion() {
        boolean isLoadedSomewhere = false;
        for (Target target : targets) {
            isLoadedSomewhere |= !wantedVersion.isEmpty() && target.hasModel(wantedVersion);
        }
        for (Target target : targets) {
            target.servesWantedVersion(!isLoadedSomewhere || target.hasModel(wantedVersion));
        }
    }

    void refreshTotals(long nowMillis) {
        if (nowMillis < refreshDueMillis) {
            return;
        }
        refreshDueMillis = nowMillis + REFRESH_MILLIS;
        slots = 0;
        load = 0;
        excluded = 0;
        for (Target target : targets) {
            if (!target.mayReceive(nowMillis) || target.ejection.isEjected(nowMillis)) {
                excluded++;
                continue;
            }
            slots += target.slots(nowMillis);
            load += target.load.load();
        }
    }

    void adjustLoad(int delta) {
        load += delta;
    }

    double meanLoad() {
        return load / (double) Math.max(1, targets.length - excluded);
    }

    boolean hasCapacity() {
        return load < slots;
    }

    /** Returns the queue wait of a request if the load were spread evenly over the targets. */
    double queueWaitMillis() {
        return Math.max(0, load + 1 - slots) / Math.max(1, slots) * workEstimate.meanRunMillis();
    }

    /** Returns how much longer every target that accepts requests wants a pause, zero if there is none or one does not. */
    long pauseMillis(long nowMillis) {
        long shortestMillis = Long.MAX_VALUE;
        for (Target target : targets) {
            if (target.acceptsRequests()) {
                shortestMillis = Math.min(shortestMillis, target.ejection.pauseMillis(nowMillis));
            }
        }
        return shortestMillis == Long.MAX_VALUE ? 0 : shortestMillis;
    }

    /** Ejects a target, unless half of the targets are already ejected. */
    void eject(Target target, long nowMillis) {
        // A fault of the network or of this host looks like a failure of every target. If all of them were ejected,
        // nothing would be served; symptom: rejections while targets are idle. So at most half are ejected.
        boolean isAvailable = !target.ejection.isEjected(nowMillis);
        if (isAvailable && (ejectedCount(nowMillis) + 1) * 2 <= targets.length) {
            target.ejection.eject(nowMillis);
            refreshDueMillis = Long.MIN_VALUE;
        }
    }

    RemoteRegion.ServiceLoad summarize(long nowMillis) {
        int count = 0;
        double totalSlots = 0;
        int running = 0;
        int queued = 0;
        for (Target target : targets) {
            if (target.load.hasReport() && target.mayReceive(nowMillis) && !target.ejection.isEjected(nowMillis)) {
                int targetSlots = (int) target.slots(nowMillis);
                count++;
                totalSlots += targetSlots;
                running += Math.min(targetSlots, target.load.load());
                queued += Math.max(0, target.load.load() - targetSlots);
            }
        }
        return new RemoteRegion.ServiceLoad(count, (int) totalSlots, running, queued, nowMillis);
    }

    private void keepHalfAvailable(long nowMillis) {
        for (Target target : targets) {
            if (ejectedCount(nowMillis) * 2 <= targets.length) {
                return;
            }
            target.ejection.readmit();
        }
    }

    private int ejectedCount(long nowMillis) {
        int count = 0;
        for (Target target : targets) {
            count += target.ejection.isEjected(nowMillis) ? 1 : 0;
        }
        return count;
    }
}
