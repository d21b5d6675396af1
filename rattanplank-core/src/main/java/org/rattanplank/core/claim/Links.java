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
final class Links {
    private final Map<String, Long> connected = new TreeMap<>();
    private final Map<String, Long> downSinceMillis = new TreeMap<>();
    private final Set<String> silent = new TreeSet<>();

    Links copy() {
        Links copy = new Links();
        copy.connected.putAll(connected);
        copy.downSinceMillis.putAll(downSinceMillis);
        copy.silent.addAll(silent);
        return copy;
    }

    void connected(String host, long incarnation) {
        connected.put(host, incarnation);
        downSinceMillis.remove(host);
        silent.remove(host);
    }

    void lost(String host, long nowMillis) {
        connected.remove(host);
        downSinceMillis.putIfAbsent(host, nowMillis);
    }

    /** Takes note of a host that is connected but does not answer. */
    void silent(String host) {
        silent.add(host);
    }

    void heard(String host) {
        silent.remove(host);
    }

    /** Forgets who did not answer, since that was about another view. */
    void viewChanged() {
        silent.clear();
    }

    /** All hosts of the data centre that can be reached. */
    List<String> hosts() {
        return List.copyOf(connected.keySet());
    }

    boolean isUp(ViewMemberId member) {
        return Option.of(connected.get(member.host())).contains(member.incarnation());
    }

    Option<Long> incarnation(String host) {
        return Option.of(connected.get(host));
    }

    /** Whether a member was unreachable for some time, or another process answers at its host. */
    boolean isLost(ViewMemberId member, long graceMillis, long nowMillis) {
        if (silent.contains(member.host())) {
            return true;
        }
        Option<Long> incarnation = incarnation(member.host());
        if (incarnation.isDefined()) {
            return incarnation.get() > member.incarnation();
        }
        return nowMillis - downSinceMillis.computeIfAbsent(member.host(), host -> nowMillis) >= graceMillis;
    }

    String describe() {
        return connected + " down " + downSinceMillis.keySet() + " silent " + silent;
    }
}
