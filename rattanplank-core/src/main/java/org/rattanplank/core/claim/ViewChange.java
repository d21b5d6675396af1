package org.rattanplank.core.claim;

import java.util.Objects;

import io.vavr.collection.List;

/**
 * A change of the view that this host has proposed and that is not formed yet. Immutable and thread safe.
 *
 * <p>Invariant: a change that the store was asked for can only be settled by the store.
 *
 * @param proposed the next view
 * @param byStore whether the store decides; otherwise all members of the old view do
 * @param awaited the hosts whose consent is missing
 * @param unsure whether a call to the store may have taken effect, or still may
 * @param calling whether a call to the store is in flight
 * @param startedMillis when it was proposed
 * @param sentMillis when it was last sent
 */
record ViewChange(
        ClaimView proposed,
        boolean byStore,
        List<String> awaited,
        boolean unsure,
        boolean calling,
        long startedMillis,
        long sentMillis) {
    ViewChange {
        Objects.requireNonNull(proposed, "proposed");
        Objects.requireNonNull(awaited, "awaited");
    }

    static ViewChange byStore(ClaimView proposed, long nowMillis) {
        return new ViewChange(proposed, true, List.empty(), false, false, nowMillis, 0);
    }

    static ViewChange byConsent(ClaimView proposed, List<String> awaited, long nowMillis) {
        return new ViewChange(proposed, false, awaited, false, false, nowMillis, nowMillis);
    }

    boolean isSafeToWithdraw() {
        return !unsure && !calling;
    }

    ViewChange agreed(String host) {
        return new ViewChange(proposed, byStore, awaited.remove(host), unsure, calling, startedMillis, sentMillis);
    }

    ViewChange sent(long nowMillis) {
        return new ViewChange(proposed, byStore, awaited, unsure, calling, startedMillis, nowMillis);
    }

    ViewChange called(long nowMillis) {
        return new ViewChange(proposed, byStore, awaited, unsure, true, startedMillis, nowMillis);
    }

    ViewChange replied(boolean maybeDone) {
        return new ViewChange(proposed, byStore, awaited, unsure || maybeDone, false, startedMillis, sentMillis);
    }
}
