package org.rattanplank.core.route;

/**
 * The load of one target or region: its last report, corrected by what this host sent and saw ended since.
 *
 * <p>Invariant: never below what this host itself has there. The changes since the report are held in a ring of at most
 * {@link #MAX_CHANGES}; older ones are taken as reported. Confined to the router's lock.
 */
final class LoadEstimate {
    static final int MAX_CHANGES = 256;
    private static final int FIRST_CHANGES = 8;

    private long reportedAtMillis = Long.MIN_VALUE;
    private int load;
    private int own;
    private long[] changedAtMillis = new long[FIRST_CHANGES];
    private byte[] changes = new byte[FIRST_CHANGES];
    private int oldest;
    private int size;

    int load() {
        return load;
    }

    int own() {
        return own;
    }

    boolean isReported() {
        return reportedAtMillis != Long.MIN_VALUE;
    }

    /** Takes a report; one that is older than the last is passed over. */
    void reported(int newLoad, long atMillis) {
        if (atMillis < reportedAtMillis) {
            return;
        }
        reportedAtMillis = atMillis;
        while (size > 0 && changedAtMillis[oldest] <= atMillis) {
            dropOldest();
        }
        int sum = newLoad;
        for (int i = 0; i < size; i++) {
            sum += changes[(oldest + i) & (changes.length - 1)];
        }
        load = Math.max(own, sum);
    }

    /** Takes note of a send, counted so often until a report covers it. */
    void started(int counted, long nowMillis) {
        own++;
        load += counted;
        note(nowMillis, (byte) counted);
    }

    void ended(long nowMillis) {
        own--;
        load = Math.max(own, load - 1);
        note(nowMillis, (byte) -1);
    }

    private void note(long nowMillis, byte change) {
        if (size == changes.length) {
            if (size == MAX_CHANGES) {
                dropOldest();
            } else {
                grow();
            }
        }
        int at = (oldest + size) & (changes.length - 1);
        changedAtMillis[at] = nowMillis;
        changes[at] = change;
        size++;
    }

    private void dropOldest() {
        oldest = (oldest + 1) & (changes.length - 1);
        size--;
    }

    private void grow() {
        long[] times = new long[size * 2];
        byte[] values = new byte[size * 2];
        for (int i = 0; i < size; i++) {
            int from = (oldest + i) & (changes.length - 1);
            times[i] = changedAtMillis[from];
            values[i] = changes[from];
        }
        changedAtMillis = times;
        changes = values;
        oldest = 0;
    }
}
