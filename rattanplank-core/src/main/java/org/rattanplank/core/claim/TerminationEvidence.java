package org.rattanplank.core.claim;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Place;

/**
 * What shows that a process has ended, as opposed to being silent.
 *
 * <p>Invariant: a refused connection or an absence from the list counts only if it came after the view that names the
 * process was learned. An older one may speak of the process before it: the host would be restarted and in the view,
 * and yet be taken for ended. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class TerminationEvidence {
    private final Place location;
    private final long hostListLagMillis;
    private final Map<String, Long> incarnations = new TreeMap<>();
    private final Set<String> connectionRefused = new TreeSet<>();
    private final Set<String> everListedHosts = new TreeSet<>();
    private final Set<String> unlistedHosts = new TreeSet<>();
    private long viewUpdatedAtMillis;

    TerminationEvidence(Place place, long listLagMillis) {
        this.location = place;
        this.hostListLagMillis = listLagMillis;
    }

    TerminationEvidence copy() {
        TerminationEvidence copy = new TerminationEvidence(location, hostListLagMillis);
        copy.incarnations.putAll(incarnations);
        copy.connectionRefused.addAll(connectionRefused);
        copy.everListedHosts.addAll(everListedHosts);
        copy.unlistedHosts.addAll(unlistedHosts);
        copy.viewUpdatedAtMillis = viewUpdatedAtMillis;
        return copy;
    }

    /** Takes note that another view was learned, so that older evidence may speak of older processes. */
    void viewUpdated(long nowMillis) {
        connectionRefused.clear();
        unlistedHosts.clear();
        viewUpdatedAtMillis = nowMillis;
    }

    void connected(String host, long incarnation) {
        incarnations.merge(host, incarnation, Math::max);
        connectionRefused.remove(host);
    }

    void connectionRefused(String host) {
        connectionRefused.add(host);
    }

    void hostListUpdated(HostList list, long nowMillis) {
        Set<String> listed = new TreeSet<>();
        for (ListedHost host : list.entryHosts()) {
            if (host.place().dataCentre().equals(location.dataCentre())) {
                listed.add(host.name());
            }
        }
        everListedHosts.addAll(listed);
        unlistedHosts.removeAll(listed);
        if (nowMillis - viewUpdatedAtMillis >= hostListLagMillis) {
            everListedHosts.stream().filter(host -> !listed.contains(host)).forEach(unlistedHosts::add);
        }
    }

    boolean hasTerminated(ViewMemberId member) {
        return connectionRefused.contains(member.host())
                || unlistedHosts.contains(member.host())
                || incarnations.getOrDefault(member.host(), 0L) > member.incarnation();
    }

    String stateKey() {
        return incarnations + " refused " + connectionRefused + " unlisted " + unlistedHosts;
    }
}
