package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Option;

/**
 * Records the recent maximum duration of each kind of request, from its arrival to the end of its answer. An expected
 * duration is not sufficient where an answer must not be interrupted: streams beside many prompts take several times as
 * long. Confined to its owner's thread.
 */
public final class MaxDurations {
    /** Longer than a burst or a restart of targets; a kind that is in use at all is observed within it. */
    static final long WINDOW_MILLIS = 5_000;

    private final Map<String, Window> windowsByKind = new HashMap<>();

    /**
     * Records a complete answer, or a request that is still in flight.
     *
     * @param kind the kind of request
     * @param millis its duration, so far if it is still in flight
     * @param nowMillis the time
     */
    public void record(String kind, long millis, long nowMillis) {
        Window window = windowsByKind.computeIfAbsent(kind, each -> new Window(nowMillis));
        window.advance(nowMillis);
        window.currentMaxMillis = Math.max(window.currentMaxMillis, millis);
    }

    /**
     * Returns the maximum duration within the current and the previous window.
     *
     * @param kind the kind of request
     * @param nowMillis the time
     * @return milliseconds, or none if none has ended in that time
     */
    public Option<Long> maxMillis(String kind, long nowMillis) {
        return Option.of(windowsByKind.get(kind))
                .peek(window -> window.advance(nowMillis))
                .map(window -> Math.max(window.currentMaxMillis, window.previousMaxMillis))
                .filter(millis -> millis >= 0);
    }

    private static final class Window {
        private static final long NONE = -1;

        private long startMillis;
        private long currentMaxMillis = NONE;
        private long previousMaxMillis = NONE;

        private Window(long nowMillis) {
            startMillis = nowMillis;
        }

        private void advance(long nowMillis) {
            if (nowMillis - startMillis < WINDOW_MILLIS) {
                return;
            }
            boolean isNext = nowMillis - startMillis < 2 * WINDOW_MILLIS;
            previousMaxMillis = isNext ? currentMaxMillis : NONE;
            currentMaxMillis = NONE;
            startMillis = nowMillis;
        }
    }
}
