package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.schema.message.LeavingNotice;

/**
 * Registry of the hosts and targets that are leaving.
 *
 * <p>Invariant: a name stays registered until a higher incarnation of it is observed, or until the platform's host list
 * has caught up with the departure and then shows the name again. A name that the configuration retires stays for as
 * long as the configuration retires it. Not thread safe.
 */
final class LeavingRegistry {
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final long SETTLING_MILLIS = 3_000;

    private record Entry(LeavingNotice notice, long receivedMillis, boolean local) {}

    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Long> clearedAtRevision = new TreeMap<>();
    private final Set<String> listedBefore = new HashSet<>();
    private final Set<String> listCaughtUp = new HashSet<>();
    private Set<String> retired = Set.of();
    private Set<String> listedNames = Set.of();

    boolean contains(String name) {
        return entries.containsKey(name) || retired.contains(name);
    }

    Set<String> names() {
        Set<String> names = new TreeSet<>(entries.keySet());
        names.addAll(retired);
        return names;
    }

    /** Adds a notice that a host or target is leaving; returns whether it is new. */
    boolean add(LeavingNotice notice, boolean local, long nowMillis, long knownIncarnation) {
        if (entries.containsKey(notice.name())) {
            return false;
        }
        boolean olderIncarnation = notice.incarnation() != 0 && notice.incarnation() < knownIncarnation;
        boolean olderNotice = notice.listRevision() < clearedAtRevision.getOrDefault(notice.name(), 0L);
        // A peer that has not observed the restart yet still reports the old process. If its notice were accepted, the
        // name would be marked as leaving repeatedly; symptom: a restarted host receives no work although it is in
        // every host list.
        if (olderIncarnation || olderNotice) {
            return false;
        }
        entries.put(notice.name(), new Entry(notice, nowMillis, local));
        return true;
    }

    /** Sets the names that the configuration retires. */
    void setRetired(Set<String> names) {
        retired = new TreeSet<>(names);
    }

    /** Records the incarnation that runs under a name. */
    void observeIncarnation(String name, long incarnation, long listRevision) {
        Entry entry = entries.get(name);
        if (entry == null) {
            return;
        }
        LeavingNotice notice = entry.notice();
        if (notice.incarnation() == 0) {
            LeavingNotice bound = new LeavingNotice(name, incarnation, notice.listRevision());
            entries.put(name, new Entry(bound, entry.receivedMillis(), entry.local()));
        } else if (incarnation > notice.incarnation()) {
            remove(name, listRevision);
        }
    }

    /**
     * Records the available hosts reported by another data centre, which is authoritative for the return of its own
     * hosts.
     */
    void observeAvailable(List<String> hosts, long listRevision, long nowMillis) {
        for (String host : hosts) {
            Entry entry = entries.get(host);
            // The two representatives of a data centre observe departures at slightly different times, and the older
            // view of one would restore a leaving host. After this time both have received the notice.
            if (entry != null && nowMillis - entry.receivedMillis() > SETTLING_MILLIS) {
                remove(host, listRevision);
            }
        }
    }

    /**
     * Applies the platform's host list, which lags: it may contain a name long after the first notice that it is
     * leaving.
     */
    void updateHostList(HostList list, long nowMillis) {
        Set<String> present = new HashSet<>();
        Set<String> staying = new HashSet<>();
        for (ListedHost host : list.hosts()) {
            present.add(host.name());
            if (!host.leaving()) {
                staying.add(host.name());
            }
        }
        for (String name : List.copyOf(entries.keySet())) {
            if (staying.contains(name) && listCaughtUp.contains(name)) {
                remove(name, list.revision());
            } else if (!staying.contains(name) && (listedBefore.contains(name) || present.contains(name))) {
                listCaughtUp.add(name);
            }
        }
        listedNames = present;
        listedBefore.addAll(present);
        listedBefore.removeIf(name -> !present.contains(name) && !entries.containsKey(name));
        entries.values().removeIf(entry -> isExpired(entry, nowMillis));
        clearedAtRevision.keySet().removeIf(name -> !present.contains(name));
    }

    /** Returns the newest notices that originated in this data centre, for other data centres. */
    List<LeavingNotice> newest(int limit) {
        return entries.values().stream()
                .filter(Entry::local)
                .sorted(Comparator.comparingLong(Entry::receivedMillis)
                        .reversed()
                        .thenComparing(entry -> entry.notice().name()))
                .limit(limit)
                .map(Entry::notice)
                .toList();
    }

    /** Returns all notices, for a host that has just connected. */
    List<LeavingNotice> all() {
        List<LeavingNotice> notices = new ArrayList<>();
        entries.values().forEach(entry -> notices.add(entry.notice()));
        return notices;
    }

    private boolean isExpired(Entry entry, long nowMillis) {
        String name = entry.notice().name();
        return !listedNames.contains(name) && nowMillis - entry.receivedMillis() > RETENTION_MILLIS;
    }

    private void remove(String name, long listRevision) {
        entries.remove(name);
        listCaughtUp.remove(name);
        clearedAtRevision.put(name, listRevision);
    }
}
