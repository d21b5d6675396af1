package org.rattanplank.core.gateway;

/** How urgent a route's requests are, as far as estimates tell them apart. Immutable and thread safe. */
public enum Urgency {
    /** Served before all others. */
    FIRST(1, 1.0),
    /** Served before the last. */
    MIDDLE(3, 0.9),
    /** Served when nothing else waits. */
    LAST(5, 0.8);

    private final int level;
    private final double patience;

    Urgency(int level, double patience) {
        this.level = level;
        this.patience = patience;
    }

    /**
     * Finds the urgency of a rank.
     *
     * @param rank a route's rank, 0 first
     * @return its urgency; ranks beyond the last are as urgent as the last
     */
    public static Urgency of(int rank) {
        return values()[Math.max(0, Math.min(values().length - 1, rank))];
    }

    /**
     * What targets are told, from 0 to 9.
     *
     * @return the level, 0 first
     */
    public int level() {
        return level;
    }

    /**
     * The part of its objective that a request may be expected to take and still be sent. The less urgent give way first,
     * so that under overload no class is served worse than a less urgent one.
     *
     * @return the part
     */
    public double patience() {
        return patience;
    }
}
