package org.rattanplank.bench.claim;

import java.util.PriorityQueue;
import java.util.Random;

/** A clock and scheduler for discrete-event simulation, deterministic for a seed. Not thread safe. */
final class VirtualTime {
    private static final long MICROS_PER_MILLI = 1_000;

    private record ScheduledEvent(long dueMicros, long order, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private final Random random;
    private long nowMicros;
    private long nextOrder;

    VirtualTime(long startMillis, long seed) {
        nowMicros = startMillis * MICROS_PER_MILLI;
        random = new Random(seed);
    }

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    Random random() {
        return random;
    }

    void after(long micros, Runnable action) {
        events.add(new ScheduledEvent(nowMicros + micros, nextOrder++, action));
    }

    /** Schedules an action after a fixed delay plus an exponentially distributed one. */
    void afterRandomDelay(long fixedMicros, long meanExtraMicros, Runnable action) {
        after(fixedMicros + (long) (-Math.log(1 - random.nextDouble()) * meanExtraMicros), action);
    }

    void runFor(long millis) {
        long endMicros = nowMicros + millis * MICROS_PER_MILLI;
        while (!events.isEmpty() && events.peek().dueMicros() <= endMicros) {
            ScheduledEvent event = events.poll();
            nowMicros = event.dueMicros();
            event.action().run();
        }
        nowMicros = endMicros;
    }
}
