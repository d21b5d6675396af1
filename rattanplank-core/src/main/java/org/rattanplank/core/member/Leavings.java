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
 * The hosts and targets that are leaving.
 *
 * <p>Invariant: a name stays in here until a higher incarnation of it is heard, or the platform's list has caught up
 * with the departure and then shows the name anew. A name that the configuration retires stays as long as it does so.
 * Not thread safe.
 */
final class Leavings {
    private static final long FORGET_MILLIS = 3_600_000;
    private static final long SETTLED_MILLIS = 3_000;

    private record Entry(LeavingNotice notice, long learnedMillis, boolean local) {}

    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Long> clearedAtRevision = new TreeMap<>();
    private final Set<String> listedOnce = new HashSet<>();
    private final Set<String> caughtUp = new HashSet<>();
    private Set<String> retired = Set.of();
    private Set<String> listed = Set.of();

    boolean contains(String name) {
        return entries.containsKey(name) || retired.contains(name);
    }

    Set<String> names() {
        Set<String> names = new TreeSet<>(entries.keySet());
        names.addAll(retired);
        return names;
    }

    /** Takes a word that a host or target is leaving; tells whether it is news. */
    boolean learn(LeavingNotice notice, boolean local, long nowMillis, long knownIncarnation) {
        if (entries.containsKey(notice.name())) {
            return false;
        }
        boolean olderProcess = notice.incarnation() != 0 && notice.incarnation() < knownIncarnation;
        boolean olderWord = notice.listRevision() < clearedAtRevision.getOrDefault(notice.name(), 0L);
        // A peer that has not seen the restart yet still tells of the old process. Taken for news, the name would leave
        // again and again: one would notice a restarted host that gets no work although every list shows it.
        if (olderProcess || olderWord) {
            return false;
        }
        entries.put(notice.name(), new Entry(notice, nowMillis, local));
        return true;
    }

    /** Takes the names that the configuration retires. */
    void retire(Set<String> names) {
        retired = new TreeSet<>(names);
    }

    /** Takes note of which process runs under a name. */
    void incarnation(String name, long incarnation, long listRevision) {
        Entry entry = entries.get(name);
        if (entry == null) {
            return;
        }
        LeavingNotice notice = entry.notice();
        if (notice.incarnation() == 0) {
            LeavingNotice bound = new LeavingNotice(name, incarnation, notice.listRevision());
            entries.put(name, new Entry(bound, entry.learnedMillis(), entry.local()));
        } else if (incarnation > notice.incarnation()) {
            clear(name, listRevision);
        }
    }

    /** Takes the working hosts that another data centre names: it knows best whether a host of its own is back. */
    void back(List<String> hosts, long listRevision, long nowMillis) {
        for (String host : hosts) {
            Entry entry = entries.get(host);
            // The two speakers of a data centre learn a moment apart who is leaving. The older view of the second would
            // bring a leaving host back; after this time both have heard.
            if (entry != null && nowMillis - entry.learnedMillis() > SETTLED_MILLIS) {
                clear(host, listRevision);
            }
        }
    }

    /** Takes the platform's list, which lags: it may show a name long after the first word that it is leaving. */
    void listed(HostList list, long nowMillis) {
        Set<String> present = new HashSet<>();
        Set<String> staying = new HashSet<>();
        for (ListedHost host : list.hosts()) {
            present.add(host.name());
            if (!host.leaving()) {
                staying.add(host.name());
            }
        }
        for (String name : List.copyOf(entries.keySet())) {
            if (staying.contains(name) && caughtUp.contains(name)) {
                clear(name, list.revision());
            } else if (!staying.contains(name) && (listedOnce.contains(name) || present.contains(name))) {
                caughtUp.add(name);
            }
        }
        listed = present;
        listedOnce.addAll(present);
        listedOnce.removeIf(name -> !present.contains(name) && !entries.containsKey(name));
        entries.values().removeIf(entry -> isOld(entry, nowMillis));
        clearedAtRevision.keySet().removeIf(name -> !present.contains(name));
    }

    /** Gives the newest words that this data centre learned first, for others. */
    List<LeavingNotice> newest(int limit) {
        return entries.values().stream()
                .filter(Entry::local)
                .sorted(Comparator.comparingLong(Entry::learnedMillis)
                        .reversed()
                        .thenComparing(entry -> entry.notice().name()))
                .limit(limit)
                .map(Entry::notice)
                .toList();
    }

    /** Gives all words, for a host that has just come. */
    List<LeavingNotice> all() {
        List<LeavingNotice> notices = new ArrayList<>();
        entries.values().forEach(entry -> notices.add(entry.notice()));
        return notices;
    }

    private boolean isOld(Entry entry, long nowMillis) {
        String name = entry.notice().name();
        return !listed.contains(name) && nowMillis - entry.learnedMillis() > FORGET_MILLIS;
    }

    private void clear(String name, long listRevision) {
        entries.remove(name);
        caughtUp.remove(name);
        clearedAtRevision.put(name, listRevision);
    }
}
