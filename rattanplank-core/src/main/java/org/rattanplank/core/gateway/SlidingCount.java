package org.rattanplank.core.gateway;

import java.util.ArrayDeque;

/** Counts events of the last span of time. Confined to its owner's thread. */
final class SlidingCount {
    private final long spanMillis;
    private final ArrayDeque<Long> times = new ArrayDeque<>();

    SlidingCount(long spanMillis) {
        this.spanMillis = spanMillis;
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
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - spanMillis) {
            times.removeFirst();
        }
    }
}
