package org.rattanplank.core.claim;

import java.util.List;
import java.util.Objects;

/**
 * A claim that was sent to other hosts, with the hosts that have not acknowledged it. Immutable and thread safe.
 *
 * @param claim the claim
 * @param awaitedHosts the hosts whose acknowledgement is missing
 * @param firstSentAtMillis the time at which it was first sent
 * @param lastSentAtMillis the time at which it was last sent
 */
record PendingAcknowledgements(Claim claim, List<String> awaitedHosts, long firstSentAtMillis, long lastSentAtMillis) {
    PendingAcknowledgements {
        Objects.requireNonNull(claim, "claim");
        awaitedHosts = List.copyOf(awaitedHosts);
    }

    static PendingAcknowledgements of(Claim claim, List<ViewMemberId> members, long nowMillis) {
        List<String> hosts = members.stream().map(ViewMemberId::host).toList();
        return new PendingAcknowledgements(claim, hosts, nowMillis, nowMillis);
    }

    boolean isComplete() {
        return awaitedHosts.isEmpty();
    }

    PendingAcknowledgements withAcknowledgement(String host) {
        List<String> remaining =
                awaitedHosts.stream().filter(other -> !other.equals(host)).toList();
        return new PendingAcknowledgements(claim, remaining, firstSentAtMillis, lastSentAtMillis);
    }

    PendingAcknowledgements withSent(long nowMillis) {
        return new PendingAcknowledgements(claim, awaitedHosts, firstSentAtMillis, nowMillis);
    }
}
