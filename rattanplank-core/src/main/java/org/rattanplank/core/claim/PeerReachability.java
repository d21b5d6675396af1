package org.rattanplank.core.claim;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.vavr.control.Option;

/**
 * Which hosts of the data centre can be reached now, and since when others cannot. What it suspects steers proposals
 * only; nothing that must be safe rests on it. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class PeerReachability {
    private final Map<String, Long> connected = new TreeMap<>();
    private final Map<String, Long> disconnectedSinceMillis = new TreeMap<>();
    private final Set<String> markUnresponsive = new TreeSet<>();

    PeerReachability copy() {
        PeerReachability copy = new PeerReachability();
        copy.connected.putAll(connected);
        copy.disconnectedSinceMillis.putAll(disconnectedSinceMillis);
        copy.markUnresponsive.addAll(markUnresponsive);
        return copy;
    }

    void connected(String host, long incarnation) {
        connected.put(host, incarnation);
        disconnectedSinceMillis.remove(host);
        markUnresponsive.remove(host);
    }

    void disconnected(String host, long nowMillis) {
        connected.remove(host);
        disconnectedSinceMillis.putIfAbsent(host, nowMillis);
    }

    /** Takes note of a host that is connected but does not answer. */
    void markUnresponsive(String host) {
        markUnresponsive.add(host);
    }

    void messageReceived(String host) {
        markUnresponsive.remove(host);
    }

    /** Forgets who did not answer, since that was about another view. */
    void viewChanged() {
        markUnresponsive.clear();
    }

    /** All hosts of the data centre that can be reached. */
    List<String> reachableHosts() {
        return List.copyOf(connected.keySet());
    }

    boolean isReachable(ViewMemberId member) {
        return Option.of(connected.get(member.host())).contains(member.incarnation());
    }

    Option<Long> incarnation(String host) {
        return Option.of(connected.get(host));
    }

    /** Whether a member was unreachable for some time, or another process answers at its host. */
    boolean isLost(ViewMemberId member, long graceMillis, long nowMillis) {
        if (markUnresponsive.contains(member.host())) {
            return true;
        }
        Option<Long> incarnation = incarnation(member.host());
        if (incarnation.isDefined()) {
            return incarnation.get() > member.incarnation();
        }
        return nowMillis - disconnectedSinceMillis.computeIfAbsent(member.host(), host -> nowMillis) >= graceMillis;
    }

    String stateKey() {
        return connected + " down " + disconnectedSinceMillis.keySet() + " silent " + markUnresponsive;
    }
}
