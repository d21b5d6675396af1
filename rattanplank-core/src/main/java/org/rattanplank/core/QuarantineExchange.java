package org.rattanplank.core;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.rattanplank.core.member.Membership;
import org.rattanplank.core.quarantine.AnsweredRequests;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.CrashQuarantine;
import org.rattanplank.core.quarantine.EvidenceChange;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.quarantine.LostRequest;
import org.rattanplank.core.quarantine.PromptPartUse;
import org.rattanplank.core.quarantine.QuarantineEntry;
import org.rattanplank.core.quarantine.RequestIdentity;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.schema.message.CrashNews;
import org.rattanplank.schema.message.CrashNotice;

/**
 * Applies the quarantine of requests and prompt prefixes that crash targets, and exchanges its evidence with the connected
 * hosts.
 *
 * <p>Invariants: evidence is relayed only by hosts to which it is new; while no request is suspected, no fingerprint is
 * computed. Thread safe; one lock guards the evidence and is released before messages are sent.
 */
final class QuarantineExchange {
    /** A target that has crashed runs no request again within this time. */
    private static final long CRASH_DISTANCE_MILLIS = 2_000;

    /** Stands in notices about requests. */
    private static final PromptPartUse NO_PART = new PromptPartUse("", new Fingerprint(0, 0), 0);

    private final Lock lock = new ReentrantLock();
    private final CrashQuarantine quarantine = CrashQuarantine.empty();
    private final AnsweredRequests answered = AnsweredRequests.empty();
    private final String self;
    private final Membership membership;

    private QuarantineExchange(String self, Membership membership) {
        this.self = self;
        this.membership = membership;
    }

    static QuarantineExchange of(String self, Membership membership) {
        return new QuarantineExchange(self, membership);
    }

    /** Returns why a request must not be sent to any target, or none if it may be sent. */
    Option<Failure> check(Request request, long nowMillis) {
        return locked(() -> {
            if (quarantine.isEmpty()) {
                return Option.<Failure>none();
            }
            List<String> parts = quarantine.quarantinedParts(promptParts(request));
            if (!parts.isEmpty()) {
                return Option.some(Failure.of(
                        Step.ROUTE,
                        request.service(),
                        "quarantined: targets ran requests with this prompt part and crashed: "
                                + String.join(" and ", parts)));
            }
            Fingerprint fingerprint = request.fingerprint().get();
            if (!quarantine.isQuarantined(fingerprint)) {
                return Option.<Failure>none();
            }
            String crashes = Option.ofOptional(quarantine.quarantined(nowMillis).stream()
                            .filter(each -> each.fingerprint().equals(fingerprint))
                            .findFirst())
                    .map(QuarantineEntry::crashesText)
                    .getOrElse("");
            return Option.some(Failure.of(
                    Step.ROUTE, request.service(), "quarantined: these targets ran it and crashed: " + crashes));
        });
    }

    /** Returns whether this host may retry a request on its own. */
    boolean mayRetry(Request request) {
        return locked(() -> quarantine.mayRetry(() -> identity(request)));
    }

    private static RequestIdentity identity(Request request) {
        return new RequestIdentity(request.fingerprint().get(), promptParts(request));
    }

    /**
     * Returns prefixes of a prompt that other requests may share, each twice as long as the one before: a prompt has
     * hundreds of them, and each would be a piece of evidence.
     */
    private static List<String> promptParts(Request request) {
        List<Long> prefixes = request.prefixHashes();
        List<String> parts = new ArrayList<>();
        for (int blocks = 1; blocks < prefixes.size(); blocks *= 2) {
            parts.add(Long.toHexString(prefixes.get(blocks - 1)));
        }
        return parts;
    }

    /** Records that a target crashed after a request had been in flight there for a time, unless it was leaving. */
    void targetCrashed(String target, Request request, long inFlightMillis, long nowMillis, Effects effects) {
        if (membership.leaving().contains(target)) {
            return;
        }
        // A target keeps its name when it restarts, so that its crashes are told apart by when they were noticed.
        String crash = target + '@' + nowMillis / CRASH_DISTANCE_MILLIS;
        LostRequest lost = new LostRequest(identity(request), inFlightMillis);
        EvidenceChange change = locked(
                () -> quarantine.recordCrash(crash, answered.suspects(List.of(lost), nowMillis), self, nowMillis));
        send(change, "", effects);
    }

    /** Records that a target has completed a request, which therefore is not the cause of earlier crashes. */
    void completed(Request request, long nowMillis, Effects effects) {
        List<EvidenceChange> changes = locked(() -> {
            answered.completed(request.fingerprint(), promptParts(request), nowMillis);
            if (quarantine.isEmpty()) {
                return List.<EvidenceChange>of();
            }
            List<EvidenceChange> cleared = new ArrayList<>();
            cleared.add(quarantine.clear(request.fingerprint().get(), nowMillis));
            promptParts(request).forEach(id -> cleared.add(quarantine.clear(Fingerprint.ofPromptPart(id), nowMillis)));
            return cleared;
        });
        changes.forEach(cleared -> send(cleared, "", effects));
    }

    /** Merges the evidence of another host. */
    void receive(String host, CrashNews news, long nowMillis, Effects effects) {
        List<CrashEvidence> evidence =
                news.notices().stream().map(QuarantineExchange::evidence).toList();
        EvidenceChange merged = locked(() -> quarantine.merge(evidence, host, nowMillis));
        send(merged, host, effects);
        locked(() -> answered.innocents(merged.news(), nowMillis))
                .forEach((innocent, untilMillis) ->
                        send(locked(() -> quarantine.clear(innocent, untilMillis, nowMillis)), "", effects));
    }

    /** Sends all evidence to a host that has been connected. */
    void connected(String host, long nowMillis, Effects effects) {
        List<CrashEvidence> evidence = locked(() -> quarantine.evidence(nowMillis));
        if (!evidence.isEmpty()) {
            effects.add(new Action.SendMessage(host, message(evidence)));
        }
    }

    void tick(long nowMillis) {
        locked(() -> {
            quarantine.tick(nowMillis);
            return true;
        });
    }

    private void send(EvidenceChange change, String source, Effects effects) {
        if (change.news().isEmpty()) {
            return;
        }
        CrashNews message = message(change.news());
        for (String host : membership.connectedHosts()) {
            if (!host.equals(source)) {
                effects.add(new Action.SendMessage(host, message));
            }
        }
    }

    private <T> T locked(Supplier<T> action) {
        lock.lock();
        try {
            return action.get();
        } finally {
            lock.unlock();
        }
    }

    private static CrashNews message(List<CrashEvidence> evidence) {
        return new CrashNews(evidence.stream().map(QuarantineExchange::notice).toList());
    }

    private static CrashNotice notice(CrashEvidence evidence) {
        PromptPartUse use = evidence.partUse().getOrElse(NO_PART);
        return new CrashNotice(
                evidence.target(),
                evidence.fingerprint().high(),
                evidence.fingerprint().low(),
                evidence.cleared(),
                evidence.ageMillis(),
                use.id(),
                use.request().high(),
                use.request().low(),
                use.inFlightMillis());
    }

    private static CrashEvidence evidence(CrashNotice notice) {
        Option<PromptPartUse> use = notice.promptPart().isEmpty()
                ? Option.none()
                : Option.some(new PromptPartUse(
                        notice.promptPart(),
                        new Fingerprint(notice.requestHigh(), notice.requestLow()),
                        Math.max(0, notice.inFlightMillis())));
        return new CrashEvidence(
                notice.target(),
                new Fingerprint(notice.fingerprintHigh(), notice.fingerprintLow()),
                use,
                notice.cleared(),
                Math.max(0, notice.ageMillis()));
    }
}
