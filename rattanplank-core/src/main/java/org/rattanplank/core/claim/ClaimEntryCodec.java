package org.rattanplank.core.claim;

import java.util.Arrays;

import io.vavr.control.Option;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.schema.message.ClaimEntry;

/** Converts claims to and from their message form. Stateless and thread safe. */
final class ClaimEntryCodec {
    private static final Answer NO_ANSWER = Answer.of(0, "", new byte[0]);

    private ClaimEntryCodec() {}

    static ClaimEntry toEntry(Claim claim) {
        Answer answer = claim.answer().getOrElse(NO_ANSWER);
        return new ClaimEntry(
                claim.key().account(),
                claim.key().key(),
                claim.requestId(),
                claim.runner().host(),
                claim.runner().incarnation(),
                claim.viewNumber(),
                claim.sequence(),
                claim.claimedAtMillis(),
                claim.state().label(),
                answer.status(),
                answer.contentType(),
                answer.body(),
                claim.failure().step().label(),
                claim.failure().peer(),
                claim.failure().reason());
    }

    static Claim fromEntry(ClaimEntry entry) {
        ClaimState state = ClaimState.of(entry.state());
        Option<Answer> answer = state == ClaimState.ANSWERED
                ? Option.some(Answer.of((int) entry.status(), entry.contentType(), entry.body()))
                : Option.none();
        return new Claim(
                ClaimKey.of(entry.account(), entry.key()),
                entry.requestId(),
                new ViewMemberId(entry.host(), entry.incarnation()),
                entry.viewNumber(),
                entry.sequence(),
                entry.claimedAtMillis(),
                state,
                answer,
                Failure.of(parseStep(entry.step()), entry.peer(), entry.reason()));
    }

    private static Step parseStep(String label) {
        return Arrays.stream(Step.values())
                .filter(step -> step.label().equals(label))
                .findFirst()
                .orElse(Step.CLAIM);
    }
}
