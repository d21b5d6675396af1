package org.rattanplank.core.claim;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;

/**
 * Records evidence that a process has terminated, as opposed to being unresponsive.
 *
 * <p>Invariant: a refused connection or an absence from the host list counts only if it was observed after the view
 * that contains the process. Older evidence may concern the previous process of the host: the host would have restarted
 * and joined the view, and yet be considered terminated. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class TerminationEvidence {
    private final Location location;
    private final long hostListLagMillis;
    private final Map<String, Long> incarnations = new TreeMap<>();
    private final Set<String> refusedHosts = new TreeSet<>();
    private final Set<String> everListedHosts = new TreeSet<>();
    private final Set<String> unlistedHosts = new TreeSet<>();
    private long viewUpdatedAtMillis;

    TerminationEvidence(Location location, long listLagMillis) {
        this.location = location;
        this.hostListLagMillis = listLagMillis;
    }

    TerminationEvidence copy() {
        TerminationEvidence copy = new TerminationEvidence(location, hostListLagMillis);
        copy.incarnations.putAll(incarnations);
        copy.refusedHosts.addAll(refusedHosts);
        copy.everListedHosts.addAll(everListedHosts);
        copy.unlistedHosts.addAll(unlistedHosts);
        copy.viewUpdatedAtMillis = viewUpdatedAtMillis;
        return copy;
    }

    /** Records that another view was observed, so that older evidence may concern older processes. */
    void viewUpdated(long nowMillis) {
        refusedHosts.clear();
        unlistedHosts.clear();
        viewUpdatedAtMillis = nowMillis;
    }

    void connected(String host, long incarnation) {
        incarnations.merge(host, incarnation, Math::max);
        refusedHosts.remove(host);
    }

    void connectionRefused(String host) {
        refusedHosts.add(host);
    }

    void hostListUpdated(HostList list, long nowMillis) {
        Set<String> listed = new TreeSet<>();
        for (ListedHost host : list.entryHosts()) {
            if (host.location().dataCentre().equals(location.dataCentre())) {
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
        return refusedHosts.contains(member.host())
                || unlistedHosts.contains(member.host())
                || incarnations.getOrDefault(member.host(), 0L) > member.incarnation();
    }

    String stateKey() {
        return incarnations + " refused " + refusedHosts + " unlisted " + unlistedHosts;
    }
}
