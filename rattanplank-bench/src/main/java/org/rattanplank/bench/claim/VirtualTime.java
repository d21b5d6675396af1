package org.rattanplank.bench.claim;

import java.util.PriorityQueue;
import java.util.Random;

/** Time that moves from event to event; the same seed gives the same run. Not thread safe. */
final class VirtualTime {
    private static final long MICROS_PER_MILLI = 1_000;

    private record Event(long atMicros, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
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
        events.add(new Event(nowMicros + micros, nextOrder++, action));
    }

    /** Lets something happen after a fixed time and an exponentially distributed one. */
    void afterAbout(long fixedMicros, long meanMoreMicros, Runnable action) {
        after(fixedMicros + (long) (-Math.log(1 - random.nextDouble()) * meanMoreMicros), action);
    }

    void runFor(long millis) {
        long untilMicros = nowMicros + millis * MICROS_PER_MILLI;
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            event.action().run();
        }
        nowMicros = untilMicros;
    }
}
