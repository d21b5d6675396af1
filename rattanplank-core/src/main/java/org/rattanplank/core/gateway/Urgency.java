package org.rattanplank.core.gateway;

/** The urgency of a route's requests, as far as estimates distinguish it. Immutable and thread safe. */
public enum Urgency {
    /** Served before all others. */
    FIRST(1, 1.0),
    /** Served before the last. */
    MIDDLE(3, 0.9),
    /** Served when nothing else waits. */
    LAST(5, 0.8);

    private final int level;
    private final double tolerance;

    Urgency(int level, double tolerance) {
        this.level = level;
        this.tolerance = tolerance;
    }

    /**
     * Returns the urgency of a rank.
     *
     * @param rank a route's rank, 0 first
     * @return its urgency; ranks beyond the last are as urgent as the last
     */
    public static Urgency of(int rank) {
        return values()[Math.max(0, Math.min(values().length - 1, rank))];
    }

    /**
     * Returns the level that is sent to targets, from 0 to 9.
     *
     * @return the level, 0 first
     */
    public int level() {
        return level;
    }

    /**
     * Returns the factor of the latency objective up to which a request's expected time is tolerated. Less urgent
     * requests are rejected first, so that under overload no class is served worse than a less urgent one.
     *
     * @return the factor
     */
    public double tolerance() {
        return tolerance;
    }
}
