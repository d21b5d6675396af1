package org.rattanplank.core.claim;

import java.util.List;
import java.util.Objects;

/**
 * A claim that was sent to other hosts, and those that have not acknowledged it. Immutable and thread safe.
 *
 * @param claim the claim
 * @param hosts the hosts whose acknowledgement is missing
 * @param sinceMillis when it was first sent
 * @param sentMillis when it was last sent
 */
record AwaitedHosts(Claim claim, List<String> hosts, long sinceMillis, long sentMillis) {
    AwaitedHosts {
        Objects.requireNonNull(claim, "claim");
        hosts = List.copyOf(hosts);
    }

    static AwaitedHosts of(Claim claim, List<ViewMemberId> members, long nowMillis) {
        List<String> hosts = members.stream().map(ViewMemberId::host).toList();
        return new AwaitedHosts(claim, hosts, nowMillis, nowMillis);
    }

    boolean isDone() {
        return hosts.isEmpty();
    }

    AwaitedHosts acknowledged(String host) {
        List<String> rest = hosts.stream().filter(other -> !other.equals(host)).toList();
        return new AwaitedHosts(claim, rest, sinceMillis, sentMillis);
    }

    AwaitedHosts sent(long nowMillis) {
        return new AwaitedHosts(claim, hosts, sinceMillis, nowMillis);
    }
}
