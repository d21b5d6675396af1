package org.rattanplank.core.gateway;

import java.util.ArrayDeque;

/** Counts the events of the most recent time window. Confined to its owner's thread. */
final class SlidingWindowCounter {
    private final long windowMillis;
    private final ArrayDeque<Long> times = new ArrayDeque<>();

    SlidingWindowCounter(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    void add(long nowMillis) {
        expire(nowMillis);
        times.addLast(nowMillis);
    }

    int count(long nowMillis) {
        expire(nowMillis);
        return times.size();
    }

    private void expire(long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
