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
    static final long SPAN_MILLIS = 5_000;

    private final Map<String, Longest> kinds = new HashMap<>();

    /**
     * Takes note of a whole answer, or of a request that is still under way.
     *
     * @param kind the kind of request
     * @param millis what it took, or has taken so far
     * @param nowMillis the time
     */
    public void took(String kind, long millis, long nowMillis) {
        Longest longest = kinds.computeIfAbsent(kind, each -> new Longest(nowMillis));
        longest.turn(nowMillis);
        longest.nowLongestMillis = Math.max(longest.nowLongestMillis, millis);
    }

    /**
     * The longest time of one to two of the last spans.
     *
     * @param kind the kind of request
     * @param nowMillis the time
     * @return milliseconds, or none if none has ended in that time
     */
    public Option<Long> longestMillis(String kind, long nowMillis) {
        return Option.of(kinds.get(kind))
                .peek(longest -> longest.turn(nowMillis))
                .map(longest -> Math.max(longest.nowLongestMillis, longest.lastLongestMillis))
                .filter(millis -> millis >= 0);
    }

    private static final class Longest {
        private static final long NONE = -1;

        private long spanAtMillis;
        private long nowLongestMillis = NONE;
        private long lastLongestMillis = NONE;

        private Longest(long nowMillis) {
            spanAtMillis = nowMillis;
        }

        private void turn(long nowMillis) {
            if (nowMillis - spanAtMillis < SPAN_MILLIS) {
                return;
            }
            boolean isNext = nowMillis - spanAtMillis < 2 * SPAN_MILLIS;
            lastLongestMillis = isNext ? nowLongestMillis : NONE;
            nowLongestMillis = NONE;
            spanAtMillis = nowMillis;
        }
    }
}
