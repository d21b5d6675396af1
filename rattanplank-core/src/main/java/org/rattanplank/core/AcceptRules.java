package org.rattanplank.core;

import java.util.HashSet;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;

/** Validates incoming requests and determines the regions to which their data may go. Stateless and thread safe. */
final class AcceptRules {
    private AcceptRules() {}

    static Option<Failure> validate(Request request, Configuration configuration, String host) {
        if (request.passedHosts().contains(host)) {
            return Option.some(Failure.of(Step.ACCEPT, host, "the request has already passed this host"));
        }
        if (configuration.service(request.service()).isEmpty()) {
            return Option.some(Failure.of(Step.ACCEPT, request.service(), "no such service"));
        }
        if (configuration.account(request.account()).isEmpty()) {
            return Option.some(Failure.of(Step.ACCEPT, request.account(), "no such account"));
        }
        if (!request.repeatable() && request.idempotencyKey().isEmpty()) {
            String reason = "a call that is not safe to repeat needs an idempotency key";
            return Option.some(Failure.of(Step.ACCEPT, request.service(), reason));
        }
        // A key without a timestamp looks new once its claim has been removed, and its call would run again; symptom: a
        // second booking days later. A key with a timestamp is rejected when it is too old.
        if (!request.repeatable() && !request.claimed() && !hasTimedKey(request)) {
            String reason = "the idempotency key must be a version 7 UUID; POST /v1/idempotency-keys returns one";
            return Option.some(Failure.of(Step.ACCEPT, request.service(), reason));
        }
        return Option.none();
    }

    private static boolean hasTimedKey(Request request) {
        return request.idempotencyKey()
                .exists(key -> ClaimKey.of(request.account(), key).hasTime());
    }

    static Set<String> allowedRegions(Request request, Configuration configuration) {
        Option<String> ofAccount =
                configuration.account(request.account()).map(Account::residency).filter(label -> !label.isEmpty());
        Option<String> narrowest = request.residency().orElse(ofAccount);
        Set<String> allowed = new HashSet<>(configuration.allowedRegions(request.homeRegion(), narrowest));
        if (ofAccount.isDefined()) {
            // A label sent by the caller can only narrow the residency of its client account: used alone, a wrong label
            // would let data leave its region; symptom: the request shows up in the ledger of another region's target.
            allowed.retainAll(configuration.allowedRegions(request.homeRegion(), ofAccount));
        }
        return allowed;
    }
}
