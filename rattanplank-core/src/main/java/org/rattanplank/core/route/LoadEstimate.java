package org.rattanplank.core.route;

/**
 * Estimates the load of one target or region: the last report, corrected by the requests that this host has started and
 * ended since.
 *
 * <p>Invariant: the estimate is never below this host's own requests in flight. Changes since the report are kept in a
 * ring of at most {@link #MAX_CHANGES}; older ones are assumed to be covered by the report. Guarded by the router's
 * lock.
 */
final class LoadEstimate {
    static final int MAX_CHANGES = 256;
    private static final int INITIAL_CHANGES = 8;

    private long reportedAtMillis = Long.MIN_VALUE;
    private int load;
    private int ownInFlight;
    private long[] changedAtMillis = new long[INITIAL_CHANGES];
    private byte[] changes = new byte[INITIAL_CHANGES];
    private int oldest;
    private int size;

    int load() {
        return load;
    }

    int ownInFlight() {
        return ownInFlight;
    }

    boolean hasReport() {
        return reportedAtMillis != Long.MIN_VALUE;
    }

    /** Applies a load report; a report older than the last one is ignored. */
    void recordReport(int newLoad, long measuredAtMillis) {
        if (measuredAtMillis < reportedAtMillis) {
            return;
        }
        reportedAtMillis = measuredAtMillis;
        while (size > 0 && changedAtMillis[oldest] <= measuredAtMillis) {
            dropOldest();
        }
        int sum = newLoad;
        for (int i = 0; i < size; i++) {
            sum += changes[(oldest + i) & (changes.length - 1)];
        }
        load = Math.max(ownInFlight, sum);
    }

    /** Records a request that was sent; it counts with the given weight until a report covers it. */
    void recordStart(int weight, long nowMillis) {
        ownInFlight++;
        load += weight;
        addChange(nowMillis, (byte) weight);
    }

    void recordEnd(long nowMillis) {
        ownInFlight--;
        load = Math.max(ownInFlight, load - 1);
        addChange(nowMillis, (byte) -1);
    }

    private void addChange(long nowMillis, byte change) {
        if (size == changes.length) {
            if (size == MAX_CHANGES) {
                dropOldest();
            } else {
                grow();
            }
        }
        int index = (oldest + size) & (changes.length - 1);
        changedAtMillis[index] = nowMillis;
        changes[index] = change;
        size++;
    }

    private void dropOldest() {
        oldest = (oldest + 1) & (changes.length - 1);
        size--;
    }

    private void grow() {
        long[] newChangedAtMillis = new long[size * 2];
        byte[] newChanges = new byte[size * 2];
        for (int i = 0; i < size; i++) {
            int index = (oldest + i) & (changes.length - 1);
            newChangedAtMillis[i] = changedAtMillis[index];
            newChanges[i] = changes[index];
        }
        changedAtMillis = newChangedAtMillis;
        changes = newChanges;
        oldest = 0;
    }
}
