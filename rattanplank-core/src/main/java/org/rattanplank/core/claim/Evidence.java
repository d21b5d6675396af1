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
final class Evidence {
    private final Place place;
    private final long listLagMillis;
    private final Map<String, Long> incarnations = new TreeMap<>();
    private final Set<String> refused = new TreeSet<>();
    private final Set<String> listedOnce = new TreeSet<>();
    private final Set<String> unlisted = new TreeSet<>();
    private long learnedAtMillis;

    Evidence(Place place, long listLagMillis) {
        this.place = place;
        this.listLagMillis = listLagMillis;
    }

    Evidence copy() {
        Evidence copy = new Evidence(place, listLagMillis);
        copy.incarnations.putAll(incarnations);
        copy.refused.addAll(refused);
        copy.listedOnce.addAll(listedOnce);
        copy.unlisted.addAll(unlisted);
        copy.learnedAtMillis = learnedAtMillis;
        return copy;
    }

    /** Takes note that another view was learned, so that older evidence may speak of older processes. */
    void viewLearned(long nowMillis) {
        refused.clear();
        unlisted.clear();
        learnedAtMillis = nowMillis;
    }

    void connected(String host, long incarnation) {
        incarnations.merge(host, incarnation, Math::max);
        refused.remove(host);
    }

    void refused(String host) {
        refused.add(host);
    }

    void listed(HostList list, long nowMillis) {
        Set<String> listed = new TreeSet<>();
        for (ListedHost host : list.entryHosts()) {
            if (host.place().dataCentre().equals(place.dataCentre())) {
                listed.add(host.name());
            }
        }
        listedOnce.addAll(listed);
        unlisted.removeAll(listed);
        if (nowMillis - learnedAtMillis >= listLagMillis) {
            listedOnce.stream().filter(host -> !listed.contains(host)).forEach(unlisted::add);
        }
    }

    boolean hasEnded(ViewMemberId member) {
        return refused.contains(member.host())
                || unlisted.contains(member.host())
                || incarnations.getOrDefault(member.host(), 0L) > member.incarnation();
    }

    String describe() {
        return incarnations + " refused " + refused + " unlisted " + unlisted;
    }
}
