package org.rattanplank.core.claim;

import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;

/**
 * What a host holds about one idempotency key. Immutable and thread safe.
 *
 * <p>Invariant: an answer is there exactly if the state is answered.
 *
 * @param key the key
 * @param requestId the request that claimed it last
 * @param runner the process of that request
 * @param viewNumber the view in which the claim was ordered
 * @param sequence its place among the claims of this key in that view
 * @param claimedAtMillis when it was ordered
 * @param state how far it is
 * @param answer the kept answer
 * @param failure what is known if there is none
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
            throw new IllegalArgumentException("an answered claim and no other has an answer");
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
        return answer.map(kept -> kept.body().length).getOrElse(0);
    }

    Claim answered(Answer kept) {
        return with(ClaimState.ANSWERED, Option.some(kept), NO_FAILURE);
    }

    Claim freed() {
        return with(ClaimState.FREE, Option.none(), NO_FAILURE);
    }

    Claim lost(Failure why) {
        return with(ClaimState.LOST, Option.none(), why);
    }

    Claim unknown(Failure why) {
        return with(ClaimState.UNKNOWN, Option.none(), why);
    }

    Claim withOrder(long newViewNumber, long newSequence) {
        return new Claim(key, requestId, runner, newViewNumber, newSequence, claimedAtMillis, state, answer, failure);
    }

    private Claim with(ClaimState newState, Option<Answer> newAnswer, Failure newFailure) {
        return new Claim(
                key, requestId, runner, viewNumber, sequence, claimedAtMillis, newState, newAnswer, newFailure);
    }
}
