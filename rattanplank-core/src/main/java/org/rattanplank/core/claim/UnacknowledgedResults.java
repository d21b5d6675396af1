package org.rattanplank.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.schema.message.ClaimSettle;

/**
 * Results of calls of this host that some members have not acknowledged.
 *
 * <p>Invariant: a result is sent again until every member of the latest view has acknowledged it. Not thread safe;
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
        return Option.of(pendingByKey.get(key))
                .map(PendingAcknowledgements::claim)
                .filter(claim -> claim.isClaimedBy(requestId));
    }

    void add(Claim claim, List<ViewMemberId> members, long nowMillis, ActionList out) {
        if (members.isEmpty()) {
            return;
        }
        PendingAcknowledgements pending = PendingAcknowledgements.of(claim, members, nowMillis);
        pendingByKey.put(claim.key(), pending);
        send(pending, out);
    }

    /** Adds a result that is first sent at the next tick. */
    void addDeferred(Claim claim, List<ViewMemberId> members) {
        if (!members.isEmpty()) {
            pendingByKey.put(claim.key(), PendingAcknowledgements.of(claim, members, Long.MIN_VALUE / 2));
        }
    }

    void acknowledged(String host, ClaimKey key, String requestId) {
        pendingByKey.computeIfPresent(key, (same, pending) -> {
            PendingAcknowledgements remaining =
                    pending.claim().isClaimedBy(requestId) ? pending.withAcknowledgement(host) : pending;
            return remaining.isComplete() ? null : remaining;
        });
    }

    /** Restarts with the members of another view, which may not all have received the results. */
    void resetRecipients(List<ViewMemberId> members) {
        pendingByKey.replaceAll(
                (key, pending) -> PendingAcknowledgements.of(pending.claim(), members, Long.MIN_VALUE / 2));
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

    private static void send(PendingAcknowledgements pending, ActionList out) {
        ClaimSettle message = new ClaimSettle(ClaimEntryCodec.toEntry(pending.claim()));
        pending.awaitedHosts().forEach(host -> out.send(host, message));
    }

    String stateKey() {
        StringBuilder text = new StringBuilder();
        pendingByKey.forEach((key, pending) -> text.append(pending.claim()).append(pending.awaitedHosts()));
        return text.toString();
    }
}
