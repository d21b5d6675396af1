package org.rattanplank.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.schema.message.ClaimSettle;

/**
 * How calls of this host ended, as far as some member may not know yet.
 *
 * <p>Invariant: a result is sent again until every member of the newest view has acknowledged it. Not thread safe;
 * guarded by the lock of {@link Claims}.
 */
final class UnacknowledgedResults {
    private final long resendMillis;
    private final Map<ClaimKey, PendingAcknowledgements> pendingByKey = new LinkedHashMap<>();

    UnacknowledgedResults(long resendMillis) {
        this.resendMillis = resendMillis;
    }

    UnacknowledgedResults copy() {
        UnacknowledgedResults copy = new UnacknowledgedResults(resendMillis);
        copy.pendingByKey.putAll(pendingByKey);
        return copy;
    }

    boolean isEmpty() {
        return pendingByKey.isEmpty();
    }

    Option<Claim> find(ClaimKey key, String requestId) {
        return Option.of(pendingByKey.get(key)).map(PendingAcknowledgements::claim).filter(claim -> claim.isClaimedBy(requestId));
    }

    void add(Claim claim, List<ViewMemberId> members, long nowMillis, ActionList out) {
        if (members.isEmpty()) {
            return;
        }
        PendingAcknowledgements awaited = PendingAcknowledgements.of(claim, members, nowMillis);
        pendingByKey.put(claim.key(), awaited);
        send(awaited, out);
    }

    /** Keeps a result to be sent with the next tick. */
    void addDeferred(Claim claim, List<ViewMemberId> members) {
        if (!members.isEmpty()) {
            pendingByKey.put(claim.key(), PendingAcknowledgements.of(claim, members, Long.MIN_VALUE / 2));
        }
    }

    void acknowledged(String host, ClaimKey key, String requestId) {
        pendingByKey.computeIfPresent(key, (same, awaited) -> {
            PendingAcknowledgements rest = awaited.claim().isClaimedBy(requestId) ? awaited.withAcknowledgement(host) : awaited;
            return rest.isComplete() ? null : rest;
        });
    }

    /** Starts again with the members of another view, which may not all have been told. */
    void resetRecipients(List<ViewMemberId> members) {
        pendingByKey.replaceAll((key, awaited) -> PendingAcknowledgements.of(awaited.claim(), members, Long.MIN_VALUE / 2));
        pendingByKey.values().removeIf(PendingAcknowledgements::isComplete);
    }

    void resend(long nowMillis, ActionList out) {
        for (Map.Entry<ClaimKey, PendingAcknowledgements> entry : pendingByKey.entrySet()) {
            if (nowMillis - entry.getValue().lastSentAtMillis() >= resendMillis) {
                entry.setValue(entry.getValue().withSent(nowMillis));
                send(entry.getValue(), out);
            }
        }
    }

    private static void send(PendingAcknowledgements awaited, ActionList out) {
        ClaimSettle message = new ClaimSettle(ClaimEntryCodec.toEntry(awaited.claim()));
        awaited.awaitedHosts().forEach(host -> out.send(host, message));
    }

    String stateKey() {
        StringBuilder text = new StringBuilder();
        pendingByKey.forEach((key, awaited) -> text.append(awaited.claim()).append(awaited.awaitedHosts()));
        return text.toString();
    }
}
