package org.rattanplank.core.claim;

import io.vavr.control.Option;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;

/**
 * Judges by its age whether a key that no host holds may run. Immutable and thread safe.
 *
 * <p>Invariant: a key passes only if every earlier claim of it would still be held.
 *
 * @param limits the bounds
 * @param host the host that judges, for failures
 */
record KeyAgePolicy(ClaimLimits limits, String host) {

    /** Judges against the clock alone. */
    Option<ClaimDecision> check(ClaimKey key, long nowMillis) {
        return KeyTimestamp.of(key.key()).flatMap(madeAtMillis -> check(madeAtMillis, nowMillis));
    }

    private Option<ClaimDecision> check(long madeAtMillis, long nowMillis) {
        long aheadMillis = madeAtMillis - nowMillis - limits.clockMarginMillis();
        if (aheadMillis > 0) {
            // A key from the future would pass for one made after a loss of claims that it was in fact made before: it
            // would run again. Refusing it bounds by how much a key's time can err.
            return Option.some(new ClaimDecision.NotRun(failure("the key was made in the future"), aheadMillis));
        }
        if (nowMillis - madeAtMillis > limits.retentionMillis()) {
            return Option.some(new ClaimDecision.Unknown(failure("the key is older than what is remembered")));
        }
        return Option.none();
    }

    /** Judges against what the members of a view remember. */
    Option<ClaimDecision> check(ClaimKey key, ClaimView view, long nowMillis) {
        if (view.completeFromMillis() == 0) {
            return Option.none();
        }
        Option<Long> madeAtMillis = KeyTimestamp.of(key.key());
        if (madeAtMillis.isEmpty()) {
            long leftMillis = view.completeFromMillis() + limits.retentionMillis() - nowMillis;
            return Option.when(
                    leftMillis > 0,
                    () -> new ClaimDecision.NotRun(failure("claims were lost, and the key has no time"), leftMillis));
        }
        long trustedFromMillis = view.completeFromMillis() + 2 * limits.clockMarginMillis();
        return Option.when(
                madeAtMillis.get() <= trustedFromMillis,
                () -> new ClaimDecision.Unknown(failure("claims from the key's time were lost")));
    }

    private Failure failure(String reason) {
        return Failure.of(Step.CLAIM, host, reason);
    }
}
