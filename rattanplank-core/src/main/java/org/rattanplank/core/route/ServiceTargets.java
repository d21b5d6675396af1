package org.rattanplank.core.route;

import java.util.Arrays;
import java.util.Comparator;

/**
 * The targets of one service in this region, in the order of their names, with what is learned of the service.
 *
 * <p>Invariant: at most half of the targets are ejected at once. Sums over the targets are counted anew at most every
 * {@link #REFRESH_MILLIS} and corrected by this host's own sends in between. Confined to the router's lock.
 */
final class ServiceTargets {
    static final long REFRESH_MILLIS = 100;

    final WorkEstimate work = new WorkEstimate();
    final ClassMix mix = new ClassMix();
    final SpillGate gate;
    private Target[] targets = {};
    private long[] seeds = {};
    private String wantedVersion = "";
    private double slots;
    private int load;
    private int left;
    private long refreshAtMillis = Long.MIN_VALUE;

    ServiceTargets(Policy policy) {
        gate = SpillGate.closed(policy);
    }

    Target[] targets() {
        return targets;
    }

    /** The targets' seeds in the same order, in one array that is fast to run through. */
    long[] seeds() {
        return seeds;
    }

    int size() {
        return targets.length;
    }

    /** Targets that are ejected or take no work, as of the last count. */
    int leftOut() {
        return left;
    }

    void targets(Target[] listed, long nowMillis) {
        targets = listed.clone();
        Arrays.sort(targets, Comparator.comparing(target -> target.name));
        seeds = new long[targets.length];
        Arrays.setAll(seeds, i -> targets[i].seed);
        keepHalfIn(nowMillis);
        filterByVersion();
        refreshAtMillis = Long.MIN_VALUE;
    }

    void wantedVersion(String version) {
        wantedVersion = version;
        filterByVersion();
    }

    /**
     * Leaves out the targets that have not loaded the wanted version, unless none has: an old version's answer is taken
     * to be better than none while the first target still loads.
     */
    void filterByVersion() {
        boolean filters = false;
        for (Target target : targets) {
            filters |= !wantedVersion.isEmpty() && target.hasModel(wantedVersion);
        }
        for (Target target : targets) {
            target.servesWanted(!filters || target.hasModel(wantedVersion));
        }
    }

    void refresh(long nowMillis) {
        if (nowMillis < refreshAtMillis) {
            return;
        }
        refreshAtMillis = nowMillis + REFRESH_MILLIS;
        slots = 0;
        load = 0;
        left = 0;
        for (Target target : targets) {
            if (!target.takesWork() || target.ejection.isOut(nowMillis)) {
                left++;
                continue;
            }
            slots += target.slots(nowMillis);
            load += target.load.load();
        }
    }

    void changed(int byRequests) {
        load += byRequests;
    }

    double meanLoad() {
        return load / (double) Math.max(1, targets.length - left);
    }

    boolean hasRoom() {
        return load < slots;
    }

    /** How long a request would wait if the targets shared all work evenly. */
    double waitMillis() {
        return Math.max(0, load + 1 - slots) / Math.max(1, slots) * work.meanRunMillis();
    }

    /** Leaves a target out for a while, unless half of the targets are out already. */
    void eject(Target target, long nowMillis) {
        // Ejecting all: a fault of the network or of this host looks like the failure of every target, and with none
        // left nothing would be served. One would notice refusals while targets idle. So at most half are out.
        boolean isIn = !target.ejection.isOut(nowMillis);
        if (isIn && (out(nowMillis) + 1) * 2 <= targets.length) {
            target.ejection.eject(nowMillis);
            refreshAtMillis = Long.MIN_VALUE;
        }
    }

    RemoteRegion.ServiceLoad sum(long nowMillis) {
        int count = 0;
        double sumSlots = 0;
        int running = 0;
        int queued = 0;
        for (Target target : targets) {
            if (target.load.isReported() && target.takesWork() && !target.ejection.isOut(nowMillis)) {
                int runnable = (int) target.slots(nowMillis);
                count++;
                sumSlots += runnable;
                running += Math.min(runnable, target.load.load());
                queued += Math.max(0, target.load.load() - runnable);
            }
        }
        return new RemoteRegion.ServiceLoad(count, (int) sumSlots, running, queued, nowMillis);
    }

    private void keepHalfIn(long nowMillis) {
        for (Target target : targets) {
            if (out(nowMillis) * 2 <= targets.length) {
                return;
            }
            target.ejection.readmit();
        }
    }

    private int out(long nowMillis) {
        int out = 0;
        for (Target target : targets) {
            out += target.ejection.isOut(nowMillis) ? 1 : 0;
        }
        return out;
    }
}
