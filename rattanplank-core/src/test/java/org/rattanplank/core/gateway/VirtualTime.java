package org.rattanplank.core.gateway;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that advances from one task to the next. Confined to one thread. */
final class VirtualTime {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::number));
    private double nowMillis;
    private long scheduled;

    long nowMillis() {
        return Math.round(nowMillis);
    }

    void after(double millis, Runnable task) {
        tasks.add(new Task(nowMillis + millis, scheduled++, task));
    }

    void every(double millis, Runnable task) {
        after(millis, () -> {
            task.run();
            every(millis, task);
        });
    }

    void runUntil(double untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task next = tasks.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
    }

    private record Task(double atMillis, long number, Runnable action) {}
}
