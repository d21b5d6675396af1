package org.rattanplank.bench.route;

import java.util.PriorityQueue;

/**
 * Runs scheduled actions in the order of their virtual times, and actions of the same time in the order in which they
 * were added.
 *
 * <p>Invariant: the virtual time never decreases. Confined to one thread.
 */
final class VirtualScheduler {
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>();
    private long nowMillis;
    private long added;

    long nowMillis() {
        return nowMillis;
    }

    void schedule(long delayMillis, Runnable action) {
        scheduledActions.add(new ScheduledAction(nowMillis + Math.max(0, delayMillis), added++, action));
    }

    /** Repeats an action until the end of the run. */
    void scheduleEvery(long periodMillis, Runnable action) {
        schedule(periodMillis, () -> {
            action.run();
            scheduleEvery(periodMillis, action);
        });
    }

    void runUntil(long endMillis) {
        while (!scheduledActions.isEmpty() && scheduledActions.peek().atMillis() <= endMillis) {
            ScheduledAction next = scheduledActions.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
    }

    private record ScheduledAction(long atMillis, long number, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
