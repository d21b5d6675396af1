package org.rattanplank.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Runs the parts of a periodic task so that one that fails leaves out neither the others nor the next run.
 *
 * <p>Invariant: a part is reported once in {@link #REPORT_INTERVAL_MILLIS} at most, however often it fails. Confined to
 * the event loop.
 */
final class PeriodicTasks {
    static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final LongSupplier clock;
    private final BiConsumer<String, Throwable> onFailure;
    private final Map<String, Long> reportedAtMillis = new HashMap<>();

    PeriodicTasks(LongSupplier clock, BiConsumer<String, Throwable> onFailure) {
        this.clock = clock;
        this.onFailure = onFailure;
    }

    /**
     * Runs a part and reports its failure. A stack overflow counts as one: the stack is whole again when it is caught.
     *
     * @param name the name of the part
     * @param part the part
     */
    void run(String name, Runnable part) {
        try {
            part.run();
        } catch (RuntimeException | StackOverflowError e) {
            report(name, e);
        }
    }

    private void report(String name, Throwable error) {
        long now = clock.getAsLong();
        Long previous = reportedAtMillis.get(name);
        if (previous == null || now - previous >= REPORT_INTERVAL_MILLIS) {
            reportedAtMillis.put(name, now);
            onFailure.accept(name, error);
        }
    }
}
