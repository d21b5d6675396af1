package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Option;

/**
 * The longest time that each kind of request took of late, from its arrival to the end of its answer. What is expected of
 * an answer says too little where one may not be cut: streams beside many prompts take several times as long. Confined to
 * its owner's thread.
 */
public final class LongestTimes {
    /** A burst or a restart of targets is over by then; a kind that is asked for at all has been seen. */
    static final long WINDOW_MILLIS = 5_000;

    private final Map<String, Window> windowsByKind = new HashMap<>();

    /**
     * Takes note of a whole answer, or of a request that is still under way.
     *
     * @param kind the kind of request
     * @param millis what it took, or has taken so far
     * @param nowMillis the time
     */
    public void took(String kind, long millis, long nowMillis) {
        Window longest = windowsByKind.computeIfAbsent(kind, each -> new Window(nowMillis));
        longest.advance(nowMillis);
        longest.currentMaxMillis = Math.max(longest.currentMaxMillis, millis);
    }

    /**
     * The longest time of one to two of the last spans.
     *
     * @param kind the kind of request
     * @param nowMillis the time
     * @return milliseconds, or none if none has ended in that time
     */
    public Option<Long> longestMillis(String kind, long nowMillis) {
        return Option.of(windowsByKind.get(kind))
                .peek(longest -> longest.advance(nowMillis))
                .map(longest -> Math.max(longest.currentMaxMillis, longest.previousMaxMillis))
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
