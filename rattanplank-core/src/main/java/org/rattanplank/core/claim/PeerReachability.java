package org.rattanplank.core.claim;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.vavr.control.Option;

/**
 * Tracks which hosts of the data centre are reachable and since when others are not. Suspicions only trigger proposals;
 * safety does not depend on them. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class PeerReachability {
    private final Map<String, Long> connected = new TreeMap<>();
    private final Map<String, Long> disconnectedSinceMillis = new TreeMap<>();
    private final Set<String> unresponsive = new TreeSet<>();

    PeerReachability copy() {
        PeerReachability copy = new PeerReachability();
        copy.connected.putAll(connected);
        copy.disconnectedSinceMillis.putAll(disconnectedSinceMillis);
        copy.unresponsive.addAll(unresponsive);
        return copy;
    }

    void connected(String host, long incarnation) {
        connected.put(host, incarnation);
        disconnectedSinceMillis.remove(host);
        unresponsive.remove(host);
    }

    void disconnected(String host, long nowMillis) {
        connected.remove(host);
        disconnectedSinceMillis.putIfAbsent(host, nowMillis);
    }

    /** Marks a host that is connected but does not respond. */
    void markUnresponsive(String host) {
        unresponsive.add(host);
    }

    void messageReceived(String host) {
        unresponsive.remove(host);
    }

    /** Clears unresponsive hosts, since they were recorded for another view. */
    void viewChanged() {
        unresponsive.clear();
    }

    /** Returns all reachable hosts of the data centre. */
    List<String> reachableHosts() {
        return List.copyOf(connected.keySet());
    }

    boolean isReachable(ViewMemberId member) {
        return Option.of(connected.get(member.host())).contains(member.incarnation());
    }

    Option<Long> incarnation(String host) {
        return Option.of(connected.get(host));
    }

    /**
     * Returns whether a member is unresponsive, was unreachable for the grace period, or was replaced by a later
     * process.
     */
    boolean isLost(ViewMemberId member, long graceMillis, long nowMillis) {
        if (unresponsive.contains(member.host())) {
            return true;
        }
        Option<Long> incarnation = incarnation(member.host());
        if (incarnation.isDefined()) {
            return incarnation.get() > member.incarnation();
        }
        return nowMillis - disconnectedSinceMillis.computeIfAbsent(member.host(), host -> nowMillis) >= graceMillis;
    }

    String stateKey() {
        return connected + " disconnected " + disconnectedSinceMillis.keySet() + " unresponsive " + unresponsive;
    }
}
