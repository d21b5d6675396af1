package org.rattanplank.core.account;

import java.util.HashMap;
import java.util.Map;

/**
 * What a host knows of the use of one client account's allowance in its region: a token bucket that all hosts of the region
 * draw from, each with a copy of its own.
 *
 * <p>What other hosts use is known from their reports, and extrapolated from one report to the next. Invariants: the level
 * never exceeds the burst; units that another host used are drawn once, however often they are reported. Confined to its
 * owner's thread.
 */
final class AccountBucket {
    /** The time over which the use by a host is averaged: long enough for single requests, short beside a burst. */
    private static final double USED_TIME_CONSTANT_MILLIS = 300;

    /** The time over which demand is averaged, by which regions divide an allowance. */
    private static final double DEMAND_TIME_CONSTANT_MILLIS = 700;

    /** Several of the longest intervals between reports, in which the rates fall to nearly nothing. */
    private static final long ACTIVE_MILLIS = 5_000;

    private static final double ROUNDING_UNITS = 1e-6;

    private final Map<String, PeerUsage> peers = new HashMap<>();
    private final UsageRate used = new UsageRate(USED_TIME_CONSTANT_MILLIS);
    private final UsageRate demand = new UsageRate(DEMAND_TIME_CONSTANT_MILLIS);
    private double level;
    private long advancedAtMillis;
    private long usedUnits;
    private long demandedAtMillis = Long.MIN_VALUE / 2;

    AccountBucket(long nowMillis) {
        advancedAtMillis = nowMillis;
    }

    /** Fills the bucket for the time since it was filled last, less what other hosts have used meanwhile. */
    void advance(double unitsPerSecond, double burstUnits, long nowMillis) {
        double seconds = Math.max(0, nowMillis - advancedAtMillis) / AllowanceControl.MILLIS_PER_SECOND;
        advancedAtMillis = Math.max(advancedAtMillis, nowMillis);
        level = Math.min(burstUnits, level + (unitsPerSecond - peerUsedPerSecond()) * seconds);
    }

    void recordDemand(double units, long nowMillis) {
        demandedAtMillis = nowMillis;
        demand.record(units, nowMillis);
    }

    boolean hasUnits() {
        return level > -ROUNDING_UNITS;
    }

    /** Draws units; the level may become negative by one request of each host, which is made up for later. */
    void draw(long units, long nowMillis) {
        level -= units;
        usedUnits += units;
        used.record(units, nowMillis);
    }

    double level() {
        return level;
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

    /** Returns what is asked for in the region. */
    double regionDemandPerSecond(long nowMillis) {
        double perSecond = demand.perSecond(nowMillis);
        for (PeerUsage peer : peers.values()) {
            perSecond += peer.demandPerSecond;
        }
        return perSecond;
    }

    long oldestReportMillis(long nowMillis) {
        long oldest = 0;
        for (PeerUsage peer : peers.values()) {
            oldest = Math.max(oldest, nowMillis - peer.reportedAtMillis);
        }
        return oldest;
    }

    /** Returns whether there was a request so recently that other hosts may not have been told all of it. */
    boolean isActive(long nowMillis) {
        return nowMillis - demandedAtMillis < ACTIVE_MILLIS;
    }

    AccountUsage usage(String account, long nowMillis) {
        return new AccountUsage(account, usedUnits, used.perSecond(nowMillis), demand.perSecond(nowMillis));
    }

    /** Takes in the report of another host; the bucket is advanced up to now. */
    void receive(String host, AccountUsage report, long nowMillis) {
        PeerUsage peer = peers.computeIfAbsent(host, name -> new PeerUsage());
        if (peer.known) {
            double extrapolatedUnits =
                    peer.usedPerSecond * (nowMillis - peer.reportedAtMillis) / AllowanceControl.MILLIS_PER_SECOND;
            level -= report.usedUnits() - peer.usedUnits - extrapolatedUnits;
        }
        peer.known = true;
        peer.usedUnits = report.usedUnits();
        peer.usedPerSecond = report.usedPerSecond();
        peer.demandPerSecond = report.demandPerSecond();
        peer.reportedAtMillis = nowMillis;
    }

    /** Leaves a part of what is left to a host that fell silent. */
    void leavePart(double fraction) {
        level -= Math.max(0, level) * fraction;
    }

    /** Forgets another host, which has ended. */
    void forget(String host) {
        peers.remove(host);
    }

    /** What one other host has reported. */
    private static final class PeerUsage {
        private boolean known;
        private long usedUnits;
        private double usedPerSecond;
        private double demandPerSecond;
        private long reportedAtMillis;
    }
}
