package org.rattanplank.gateway.store;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The sums over what this host knew of the store of late.
 *
 * <p>What another host says of itself is some hundred milliseconds old, and changes are on their way for a moment. Its sum
 * is then one that this host had a moment ago, and it lacks nothing that it won't have soon. Invariant: at most
 * {@link #MOST} sums are kept. Confined to its event loop.
 */
final class DigestHistory {
    /** Changes of 2 s at the fastest pace seen, one each 8 ms while targets are replaced; older ones go first. */
    static final int MOST = 256;

    private final Deque<Past> past = new ArrayDeque<>();

    /**
     * Takes note of a sum that was replaced just now.
     *
     * @param digest the sum before
     * @param nowMillis the time
     */
    void replaced(long digest, long nowMillis) {
        if (past.size() == MOST) {
            past.removeFirst();
        }
        past.addLast(new Past(digest, nowMillis));
    }

    /**
     * Whether a sum was this host's own at some time since.
     *
     * @param digest the sum
     * @param sinceMillis the time
     * @return whether it was replaced no earlier
     */
    boolean held(long digest, long sinceMillis) {
        return past.stream().anyMatch(each -> each.digest() == digest && each.replacedAtMillis() >= sinceMillis);
    }

    private record Past(long digest, long replacedAtMillis) {}
}
