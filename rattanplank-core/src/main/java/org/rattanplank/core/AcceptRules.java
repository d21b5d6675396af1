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

/** What a request must be like to be taken at all, and where its data may go. Stateless and thread safe. */
final class AcceptRules {
    private AcceptRules() {}

    static Option<Failure> faultOf(Request request, Configuration configuration, String host) {
        if (request.passedHosts().contains(host)) {
            return Option.some(Failure.of(Step.ACCEPT, host, "the request has been here before"));
        }
        if (configuration.service(request.service()).isEmpty()) {
            return Option.some(Failure.of(Step.ACCEPT, request.service(), "no such service"));
        }
        if (configuration.account(request.account()).isEmpty()) {
            return Option.some(Failure.of(Step.ACCEPT, request.account(), "no such account"));
        }
        if (!request.repeatable() && request.idempotencyKey().isEmpty()) {
            String reason = "a call that may not be repeated needs a key";
            return Option.some(Failure.of(Step.ACCEPT, request.service(), reason));
        }
        // A key without a time looks new once its claim is forgotten: its call would run again, which one would notice
        // as a second booking days later. A key that carries its age is refused instead.
        if (!request.repeatable() && !request.claimed() && !hasTimedKey(request)) {
            String reason = "the key must be a version 7 UUID; POST /v1/idempotency-keys gives one";
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
            // A caller's own label can only narrow its account's residency: taken alone, a wrong label would let data
            // leave its region, which one would notice only in the ledger of another region's target.
            allowed.retainAll(configuration.allowedRegions(request.homeRegion(), ofAccount));
        }
        return allowed;
    }
}
