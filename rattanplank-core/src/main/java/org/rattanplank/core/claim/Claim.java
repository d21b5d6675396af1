package org.rattanplank.core.claim;

import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;

/**
 * The state of one idempotency key. Immutable and thread safe.
 *
 * <p>Invariant: an answer is present exactly if the state is answered.
 *
 * @param key the idempotency key
 * @param requestId the request that claimed the key last
 * @param runner the process of that request
 * @param viewNumber the view in which the claim was ordered
 * @param sequence the position among the claims of this key in that view
 * @param claimedAtMillis the time at which it was ordered
 * @param state the state of the claim
 * @param answer the stored answer
 * @param failure the reason if there is no answer
 */
record Claim(
        ClaimKey key,
        String requestId,
        ViewMemberId runner,
        long viewNumber,
        long sequence,
        long claimedAtMillis,
        ClaimState state,
        Option<Answer> answer,
        Failure failure) {
    private static final Failure NO_FAILURE = Failure.of(Step.CLAIM, "", "");

    Claim {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(runner, "runner");
        if (answer.isDefined() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("a claim must have an answer if and only if its state is answered");
        }
    }

    static Claim running(
            ClaimKey key, String requestId, ViewMemberId runner, long viewNumber, long sequence, long nowMillis) {
        return new Claim(
                key, requestId, runner, viewNumber, sequence, nowMillis, ClaimState.RUNNING, Option.none(), NO_FAILURE);
    }

    boolean isClaimedBy(String otherRequestId) {
        return requestId.equals(otherRequestId);
    }

    boolean isOrderedBefore(Claim other) {
        return viewNumber != other.viewNumber ? viewNumber < other.viewNumber : sequence < other.sequence;
    }

    int answerBytes() {
        return answer.map(stored -> stored.body().length).getOrElse(0);
    }

    Claim answered(Answer newAnswer) {
        return with(ClaimState.ANSWERED, Option.some(newAnswer), NO_FAILURE);
    }

    Claim freed() {
        return with(ClaimState.FREE, Option.none(), NO_FAILURE);
    }

    Claim lost(Failure reason) {
        return with(ClaimState.LOST, Option.none(), reason);
    }

    Claim unknown(Failure reason) {
        return with(ClaimState.UNKNOWN, Option.none(), reason);
    }

    Claim withOrder(long newViewNumber, long newSequence) {
        return new Claim(key, requestId, runner, newViewNumber, newSequence, claimedAtMillis, state, answer, failure);
    }

    private Claim with(ClaimState newState, Option<Answer> newAnswer, Failure newFailure) {
        return new Claim(
                key, requestId, runner, viewNumber, sequence, claimedAtMillis, newState, newAnswer, newFailure);
    }
}
