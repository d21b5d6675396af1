package org.rattanplank.core.claim;

import io.vavr.control.Option;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;

/**
 * Decides by its age whether a key that no host holds may run. Immutable and thread safe.
 *
 * <p>Invariant: a key passes only if every earlier claim of it would still be held.
 *
 * @param limits the bounds
 * @param host the host that decides, for failures
 */
record KeyAgePolicy(ClaimLimits limits, String host) {

    /** Checks the age of a key against the clock. */
    Option<ClaimDecision> check(ClaimKey key, long nowMillis) {
        return KeyTimestamp.of(key.key()).flatMap(createdAtMillis -> check(createdAtMillis, nowMillis));
    }

    private Option<ClaimDecision> check(long createdAtMillis, long nowMillis) {
        long aheadMillis = createdAtMillis - nowMillis - limits.clockMarginMillis();
        if (aheadMillis > 0) {
            // A key with a future timestamp would appear to be created after a loss of claims that it in fact precedes,
            // and would run again. Rejecting it bounds the error of a timestamp.
            return Option.some(
                    new ClaimDecision.NotRun(failure("the timestamp of the key is in the future"), aheadMillis));
        }
        if (nowMillis - createdAtMillis > limits.retentionMillis()) {
            return Option.some(new ClaimDecision.Unknown(failure("the key is older than the retention of claims")));
        }
        return Option.none();
    }

    /** Checks the age of a key against the time since which the claims of a view are complete. */
    Option<ClaimDecision> check(ClaimKey key, ClaimView view, long nowMillis) {
        if (view.completeFromMillis() == 0) {
            return Option.none();
        }
        Option<Long> createdAtMillis = KeyTimestamp.of(key.key());
        if (createdAtMillis.isEmpty()) {
            long remainingMillis = view.completeFromMillis() + limits.retentionMillis() - nowMillis;
            return Option.when(
                    remainingMillis > 0,
                    () -> new ClaimDecision.NotRun(
                            failure("claims were lost, and the key has no timestamp"), remainingMillis));
        }
        long completeWithMarginMillis = view.completeFromMillis() + 2 * limits.clockMarginMillis();
        return Option.when(
                createdAtMillis.get() <= completeWithMarginMillis,
                () -> new ClaimDecision.Unknown(failure("claims from the creation time of the key were lost")));
    }

    private Failure failure(String reason) {
        return Failure.of(Step.CLAIM, host, reason);
    }
}
