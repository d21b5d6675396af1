package org.rattanplank.gateway.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

import org.rattanplank.core.host.Rendezvous;

/**
 * What a host knows of the store's items, and up to which revision it knows everything.
 *
 * <p>Invariants: an item's older revision never replaces a newer one; the revision up to which everything is known never
 * falls. Confined to the event loop.
 */
public final class StoreCopy {
    private static final Comparator<StoreItem> BY_REVISION =
            Comparator.comparingLong(StoreItem::revision).thenComparing(StoreItem::key);

    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, StoreItem> removed = new HashMap<>();
    private final NavigableSet<StoreItem> changes = new TreeSet<>(BY_REVISION);
    private long revision;
    private long newestRevision;
    private long digest;

    /**
     * Takes an item or its removal.
     *
     * @param item the item
     * @return whether it is newer than what was known of its key
     */
    public boolean take(StoreItem item) {
        StoreItem before = items.getOrDefault(item.key(), removed.get(item.key()));
        if (before != null && item.revision() <= before.revision()) {
            return false;
        }
        newestRevision = Math.max(newestRevision, item.revision());
        if (before != null) {
            changes.remove(before);
            digest ^= before.removed() ? 0 : digestOf(before);
        }
        changes.add(item);
        if (item.removed()) {
            items.remove(item.key());
            removed.put(item.key(), item);
        } else {
            removed.remove(item.key());
            items.put(item.key(), item);
            digest ^= digestOf(item);
        }
        return true;
    }

    /**
     * Takes what another host knows.
     *
     * @param base the revision since which these are all changes; zero if these are all items
     * @param upTo the revision up to which they are; zero if they are only some of the changes
     * @param known the items and removals
     * @return the items and removals that are newer than what was known
     */
    public List<StoreItem> merge(long base, long upTo, List<StoreItem> known) {
        List<StoreItem> newer = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreItem item : known) {
            present.add(item.key());
            if (take(item)) {
                newer.add(item);
            }
        }
        if (upTo == 0 || base > revision) {
            return newer;
        }
        if (base == 0 && upTo >= revision) {
            List<StoreItem> absent = absentFrom(present, upTo);
            absent.forEach(this::take);
            newer.addAll(absent);
        }
        complete(upTo);
        return newer;
    }

    /**
     * Takes note that everything is known up to a revision.
     *
     * @param upTo the revision
     */
    public void complete(long upTo) {
        revision = Math.max(revision, upTo);
    }

    /**
     * The keys that are known though a whole list lacks them.
     *
     * @param present the keys of the list
     * @param listRevision the revision at which it was made
     * @return the removals
     */
    public List<StoreItem> absentFrom(Set<String> present, long listRevision) {
        List<StoreItem> missing = new ArrayList<>();
        for (StoreItem item : items.values()) {
            if (!present.contains(item.key()) && item.revision() <= listRevision) {
                missing.add(new StoreItem(item.key(), new byte[0], listRevision, true));
            }
        }
        return missing;
    }

    /**
     * What changed since a revision, removals included.
     *
     * @param base the revision
     * @return the newest change of each key, oldest first
     */
    public Collection<StoreItem> changesSince(long base) {
        return changes.tailSet(new StoreItem("", new byte[0], base + 1, false), true);
    }

    /**
     * All items.
     *
     * @return the items
     */
    public Collection<StoreItem> items() {
        return List.copyOf(items.values());
    }

    /**
     * The revision up to which everything is known.
     *
     * @return the revision, zero if the whole was never learnt
     */
    public long revision() {
        return revision;
    }

    /**
     * The newest change that is known.
     *
     * @return its revision, zero if nothing is known
     */
    public long newestRevision() {
        return Math.max(newestRevision, revision);
    }

    /**
     * A sum over all items, by which hosts of an earlier version see that they know the same.
     *
     * @return the sum
     */
    public long digest() {
        return digest;
    }

    private static long digestOf(StoreItem item) {
        return Rendezvous.mix(Rendezvous.hash(item.key()) ^ item.revision());
    }
}
