package org.rattanplank.core.claim;

import java.util.Objects;

import io.vavr.collection.List;

/**
 * A change of the view that this host has proposed and that has not taken effect. Immutable and thread safe.
 *
 * <p>Invariant: a change that was requested from the store can be settled only by the store.
 *
 * @param proposed the next view
 * @param byStore whether the store decides; otherwise all members of the previous view do
 * @param awaitedHosts the hosts whose consent is missing
 * @param maybeApplied whether a call to the store may have taken effect, or still may
 * @param callInFlight whether a call to the store is in flight
 * @param proposedAtMillis the time at which it was proposed
 * @param lastSentAtMillis the time at which it was last sent
 */
record ViewChange(
        ClaimView proposed,
        boolean byStore,
        List<String> awaitedHosts,
        boolean maybeApplied,
        boolean callInFlight,
        long proposedAtMillis,
        long lastSentAtMillis) {
    ViewChange {
        Objects.requireNonNull(proposed, "proposed");
        Objects.requireNonNull(awaitedHosts, "awaitedHosts");
    }

    static ViewChange byStore(ClaimView proposed, long nowMillis) {
        return new ViewChange(proposed, true, List.empty(), false, false, nowMillis, 0);
    }

    static ViewChange byConsent(ClaimView proposed, List<String> awaited, long nowMillis) {
        return new ViewChange(proposed, false, awaited, false, false, nowMillis, nowMillis);
    }

    boolean canWithdraw() {
        return !maybeApplied && !callInFlight;
    }

    ViewChange withConsent(String host) {
        return new ViewChange(
                proposed,
                byStore,
                awaitedHosts.remove(host),
                maybeApplied,
                callInFlight,
                proposedAtMillis,
                lastSentAtMillis);
    }

    ViewChange withSent(long nowMillis) {
        return new ViewChange(proposed, byStore, awaitedHosts, maybeApplied, callInFlight, proposedAtMillis, nowMillis);
    }

    ViewChange withStoreCall(long nowMillis) {
        return new ViewChange(proposed, byStore, awaitedHosts, maybeApplied, true, proposedAtMillis, nowMillis);
    }

    ViewChange withStoreReply(boolean uncertain) {
        return new ViewChange(
                proposed, byStore, awaitedHosts, maybeApplied || uncertain, false, proposedAtMillis, lastSentAtMillis);
    }
}
