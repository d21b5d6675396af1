package org.rattanplank.core.account;

import java.util.HashMap;
import java.util.Map;

/**
 * What a host knows of the use of one client account's allowance in its region, over a window that slides.
 *
 * <p>What other hosts use is known from their reports, and extrapolated from one report to the next. Invariants: units that
 * another host used count once, however often they are reported; units count for the window and at most one slot longer.
 * Confined to its owner's thread.
 */
final class AccountWindow {
    /** Each slot counts the units of one part of the window. */
    private static final int SLOTS = 32;

    /** The time over which the use by a host is averaged: long enough for single requests, short beside a burst. */
    private static final double USED_TIME_CONSTANT_MILLIS = 300;

    /** The time over which demand is averaged, by which regions divide an allowance. */
    private static final double DEMAND_TIME_CONSTANT_MILLIS = 700;

    /** Several of the longest intervals between reports, in which the rates fall to nearly nothing. */
    private static final long MIN_ACTIVE_MILLIS = 5_000;

    private static final double ROUNDING_UNITS = 1e-6;

    private final long windowMillis;
    private final long slotMillis;
    private final long createdAtMillis;
    private final double[] slots = new double[SLOTS + 1];
    private final Map<String, PeerUsage> peers = new HashMap<>();
    private final UsageRate used = new UsageRate(USED_TIME_CONSTANT_MILLIS);
    private final UsageRate demand = new UsageRate(DEMAND_TIME_CONSTANT_MILLIS);
    private long newestSlot;
    private long advancedAtMillis;
    private long usedUnits;
    private long demandedAtMillis = Long.MIN_VALUE / 2;

    AccountWindow(long windowMillis, long nowMillis) {
        this.windowMillis = windowMillis;
        slotMillis = Math.max(1, windowMillis / SLOTS);
        createdAtMillis = nowMillis;
        advancedAtMillis = nowMillis;
        newestSlot = nowMillis / slotMillis;
    }

    /** Forgets what has left the window, and adds what other hosts are expected to have used meanwhile. */
    void advance(long nowMillis) {
        long slot = nowMillis / slotMillis;
        for (long each = newestSlot + 1; each <= slot && each <= newestSlot + slots.length; each++) {
            slots[index(each)] = 0;
        }
        newestSlot = Math.max(newestSlot, slot);
        add(peerUsedPerSecond() * Math.max(0, nowMillis - advancedAtMillis) / AllowanceControl.MILLIS_PER_SECOND);
        advancedAtMillis = Math.max(advancedAtMillis, nowMillis);
    }

    private void add(double units) {
        slots[index(newestSlot)] += units;
    }

    private int index(long slot) {
        return Math.floorMod(slot, slots.length);
    }

    /** Returns the units that the region has used in the window. */
    double units() {
        double sum = 0;
        for (double each : slots) {
            sum += each;
        }
        return Math.max(0, sum);
    }

    /**
     * Returns how much of the window this host has seen, as a fraction: others may have used an allowance before it started.
     */
    double seenFraction(long nowMillis) {
        return Math.min(1, (nowMillis - createdAtMillis) / (double) windowMillis);
    }

    /**
     * Returns whether a request is allowed under a limit: if no more than half of its units lie beyond it, so that what single
     * requests exceed doesn't add up, or if nothing was used, so that no request is too large for good.
     */
    boolean allows(long requestUnits, double limitUnits) {
        return isBelow(units(), requestUnits, limitUnits);
    }

    private static boolean isBelow(double used, long requestUnits, double limitUnits) {
        return used <= Math.max(0, limitUnits - requestUnits / 2.0) - ROUNDING_UNITS
                || used <= ROUNDING_UNITS && limitUnits > 0;
    }

    /** Returns the time until so much has left the window that a request is allowed under a limit. */
    long millisUntilAllowed(long requestUnits, double limitUnits, long nowMillis) {
        double left = units();
        for (long slot = newestSlot - SLOTS; slot <= newestSlot; slot++) {
            left -= slots[index(slot)];
            if (isBelow(left, requestUnits, limitUnits)) {
                return (slot + slots.length) * slotMillis - nowMillis;
            }
        }
        return windowMillis;
    }

    void recordDemand(double units, long nowMillis) {
        demandedAtMillis = nowMillis;
        demand.record(units, nowMillis);
    }

    /** Counts units that this host uses, or gives back. */
    void use(long units, long nowMillis) {
        add(units);
        usedUnits += units;
        used.record(units, nowMillis);
    }

    double usedPerSecond(long nowMillis) {
        return used.perSecond(nowMillis);
    }

    double peerUsedPerSecond() {
        double perSecond = 0;
        for (PeerUsage peer : peers.values()) {
            perSecond += peer.usedPerSecond;
        }
        return perSecond;
    }

    /**
     * Returns what counts as asked for in the region. It is no less than what was used in the window: a region whose peak ends
     * would have no room left for what is still asked there.
     */
    double regionDemandPerSecond(long nowMillis) {
        double perSecond = demand.perSecond(nowMillis);
        for (PeerUsage peer : peers.values()) {
            perSecond += peer.demandPerSecond;
        }
        return Math.max(perSecond, units() * AllowanceControl.MILLIS_PER_SECOND / windowMillis);
    }

    long oldestReportMillis(long nowMillis) {
        long oldest = 0;
        for (PeerUsage peer : peers.values()) {
            oldest = Math.max(oldest, nowMillis - peer.reportedAtMillis);
        }
        return oldest;
    }

    /**
     * Returns whether there was a request so recently that other hosts may not have been told all of it. A host that was cut off
     * tells what it has used meanwhile as long as that counts.
     */
    boolean isActive(long nowMillis) {
        return nowMillis - demandedAtMillis < Math.max(MIN_ACTIVE_MILLIS, windowMillis + slotMillis);
    }

    AccountUsage usage(String account, long nowMillis) {
        return new AccountUsage(account, usedUnits, used.perSecond(nowMillis), demand.perSecond(nowMillis), units());
    }

    /** Takes in the report of another host; the window is advanced up to now. */
    void receive(String host, AccountUsage report, long nowMillis) {
        PeerUsage peer = peers.computeIfAbsent(host, name -> new PeerUsage());
        // A host that was silent and returns with a lower count has started again.
        boolean restarted = peer.silent && report.usedUnits() < peer.usedUnits;
        if (peer.known && !restarted) {
            double extrapolatedUnits =
                    peer.usedPerSecond * (nowMillis - peer.reportedAtMillis) / AllowanceControl.MILLIS_PER_SECOND;
            add(report.usedUnits() - peer.usedUnits - extrapolatedUnits);
        }
        peer.known = true;
        peer.silent = false;
        peer.usedUnits = report.usedUnits();
        peer.usedPerSecond = report.usedPerSecond();
        peer.demandPerSecond = report.demandPerSecond();
        peer.reportedAtMillis = nowMillis;
    }

    /** Counts units as used now that others count and this host, which started later, doesn't know of. */
    void raiseTo(double units) {
        add(Math.max(0, units - units()));
    }

    /**
     * Leaves to a host that fell silent its part of what was used, as that of what may be used is left to it.
     *
     * @param host the host
     * @param fraction its part
     */
    void leavePart(String host, double fraction) {
        PeerUsage peer = peers.computeIfAbsent(host, name -> new PeerUsage());
        peer.usedPerSecond = 0;
        peer.demandPerSecond = 0;
        peer.silent = true;
        peer.leftFraction = fraction;
        scale(1 - fraction);
    }

    /** Counts the part of a host again that is connected again; what it has used meanwhile is in its next report. */
    void takeBackPart(String host) {
        PeerUsage peer = peers.get(host);
        if (peer != null) {
            scale(1 / (1 - peer.leftFraction));
            peer.leftFraction = 0;
        }
    }

    private void scale(double factor) {
        for (int i = 0; i < slots.length; i++) {
            slots[i] *= factor;
        }
    }

    /** Forgets another host; what it has used still counts. */
    void forget(String host) {
        peers.remove(host);
    }

    /** What one other host has reported. */
    private static final class PeerUsage {
        private boolean known;
        private boolean silent;
        private long usedUnits;
        private double usedPerSecond;
        private double demandPerSecond;
        private long reportedAtMillis;
        private double leftFraction;
    }
}
