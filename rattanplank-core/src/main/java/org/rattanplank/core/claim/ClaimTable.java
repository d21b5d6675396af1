package org.rattanplank.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import io.vavr.control.Option;

/**
 * Stores the claims of a host by key.
 *
 * <p>Invariants: a claim is removed only when its retention has passed; the result that a runner reported for its own
 * call is never replaced by any other state of that call. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class ClaimTable {
    private final ClaimLimits limits;
    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();
    private long answerBytes;

    ClaimTable(ClaimLimits limits) {
        this.limits = limits;
    }

    ClaimTable copy() {
        ClaimTable copy = new ClaimTable(limits);
        copy.claims.putAll(claims);
        copy.expiries.addAll(expiries);
        copy.answerBytes = answerBytes;
        return copy;
    }

    Option<Claim> find(ClaimKey key) {
        return Option.of(claims.get(key));
    }

    List<Claim> all() {
        return List.copyOf(claims.values());
    }

    boolean isFull() {
        return claims.size() >= limits.maxClaims() || answerBytes >= limits.maxTotalAnswerBytes();
    }

    /**
     * Returns whether an answer is small enough to be stored now; checked only where the call ran, so that all hosts
     * agree.
     */
    boolean canStoreAnswer(int bytes) {
        return bytes <= limits.maxAnswerBytes() && answerBytes + bytes <= limits.maxTotalAnswerBytes();
    }

    /**
     * Merges a claim unless the held claim is newer.
     *
     * @return whether the table changed
     */
    boolean merge(Claim claim) {
        Claim held = claims.get(claim.key());
        if (held == null) {
            put(claim);
            return true;
        }
        if (!held.isClaimedBy(claim.requestId())) {
            return held.isOrderedBefore(claim) && put(claim);
        }
        return mergeSameRequest(held, claim);
    }

    void removeExpired(long nowMillis) {
        while (!expiries.isEmpty() && expiries.peek().atMillis() <= nowMillis) {
            ClaimKey key = expiries.poll().key();
            Claim held = claims.get(key);
            if (held != null && limits.expiresAtMillis(key, held.claimedAtMillis()) <= nowMillis) {
                claims.remove(key);
                answerBytes -= held.answerBytes();
            }
        }
    }

    void clear() {
        claims.clear();
        expiries.clear();
        answerBytes = 0;
    }

    private boolean mergeSameRequest(Claim held, Claim claim) {
        Claim definite = moreDefinite(held, claim);
        Claim newest = held.isOrderedBefore(claim) ? claim : held;
        Claim merged = definite.withOrder(newest.viewNumber(), newest.sequence());
        return !merged.equals(held) && put(merged);
    }

    private static Claim moreDefinite(Claim held, Claim claim) {
        if (held.state().isSettled()) {
            return held;
        }
        return claim.state().ordinal() >= held.state().ordinal() ? claim : held;
    }

    private boolean put(Claim claim) {
        Claim previous = claims.put(claim.key(), claim);
        answerBytes += claim.answerBytes() - (previous == null ? 0 : previous.answerBytes());
        if (previous == null || previous.claimedAtMillis() != claim.claimedAtMillis()) {
            expiries.add(new Expiry(limits.expiresAtMillis(claim.key(), claim.claimedAtMillis()), claim.key()));
        }
        return true;
    }

    /** Time at which to check whether a claim can be removed. Immutable and thread safe. */
    private record Expiry(long atMillis, ClaimKey key) implements Comparable<Expiry> {
        @Override
        public int compareTo(Expiry other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
