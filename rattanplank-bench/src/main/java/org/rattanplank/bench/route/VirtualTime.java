package org.rattanplank.bench.route;

import java.util.PriorityQueue;

/**
 * Runs steps in the order of their virtual times, and steps of one time in the order in which they were added.
 *
 * <p>Invariant: the time never falls. Confined to one thread.
 */
final class VirtualTime {
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private long nowMillis;
    private long added;

    long nowMillis() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable action) {
        steps.add(new Step(nowMillis + Math.max(0, delayMillis), added++, action));
    }

    /** Repeats an action until the end of the run. */
    void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }

    void runUntil(long endMillis) {
        while (!steps.isEmpty() && steps.peek().atMillis() <= endMillis) {
            Step step = steps.poll();
            nowMillis = step.atMillis();
            step.action().run();
        }
    }

    private record Step(long atMillis, long number, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
