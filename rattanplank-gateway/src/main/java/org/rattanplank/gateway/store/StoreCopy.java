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

import org.rattanplank.core.host.RendezvousHashing;

/**
 * A host's local copy of the store's items, with the revision up to which it is complete.
 *
 * <p>Invariants: an older revision of an item never replaces a newer one; an item that a complete copy lacks was removed
 * before the revision up to which it is complete, and isn't added again by older contents; that revision never decreases.
 * Confined to the event loop.
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
     * Applies an item or its removal.
     *
     * @param item the item
     * @return whether it is newer than the known revision of its key
     */
    public boolean apply(StoreItem item) {
        StoreItem previous = items.getOrDefault(item.key(), removed.get(item.key()));
        if (previous != null && item.revision() <= previous.revision()) {
            return false;
        }
        newestRevision = Math.max(newestRevision, item.revision());
        if (previous != null) {
            changes.remove(previous);
            digest ^= previous.removed() ? 0 : digestOf(previous);
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
     * Applies an item of a listing of the store.
     *
     * @param item the item
     * @param listRevision the store's revision when the item was read
     * @return whether it is newer than what is known
     */
    public boolean applyListed(StoreItem item, long listRevision) {
        return (listRevision >= revision || !isKnownRemoved(item)) && apply(item);
    }

    /** Returns whether an item that the copy lacks is so old that it must have been removed. */
    private boolean isKnownRemoved(StoreItem item) {
        return item.revision() <= revision && !items.containsKey(item.key());
    }

    /**
     * Merges the contents that another host has sent.
     *
     * @param baseRevision the revision since which the items are all changes; zero if they are all items of the store
     * @param upTo the revision up to which they are complete; zero if they are only some of the changes
     * @param received the items and removals
     * @return the items and removals that are newer than the known ones
     */
    public List<StoreItem> merge(long baseRevision, long upTo, List<StoreItem> received) {
        List<StoreItem> newer = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreItem item : received) {
            present.add(item.key());
            if (!isKnownRemoved(item) && apply(item)) {
                newer.add(item);
            }
        }
        if (upTo == 0 || baseRevision > revision) {
            return newer;
        }
        if (baseRevision == 0 && upTo >= revision) {
            List<StoreItem> removals = removalsMissingFrom(present, upTo);
            removals.forEach(this::apply);
            newer.addAll(removals);
        }
        completeUpTo(upTo);
        return newer;
    }

    /**
     * Marks the copy as complete up to a revision.
     *
     * @param upTo the revision
     */
    public void completeUpTo(long upTo) {
        revision = Math.max(revision, upTo);
    }

    /**
     * Returns removals for the known items that are missing from a full listing.
     *
     * @param present the keys of the listing
     * @param listRevision the revision of the listing
     * @return the removals
     */
    public List<StoreItem> removalsMissingFrom(Set<String> present, long listRevision) {
        List<StoreItem> removals = new ArrayList<>();
        for (StoreItem item : items.values()) {
            if (!present.contains(item.key()) && item.revision() <= listRevision) {
                removals.add(new StoreItem(item.key(), new byte[0], listRevision, true));
            }
        }
        return removals;
    }

    /**
     * Returns the changes since a revision, including removals.
     *
     * @param baseRevision the revision
     * @return the newest change of each key, oldest first
     */
    public Collection<StoreItem> changesSince(long baseRevision) {
        return changes.tailSet(new StoreItem("", new byte[0], baseRevision + 1, false), true);
    }

    /**
     * Returns all items.
     *
     * @return the items
     */
    public Collection<StoreItem> items() {
        return List.copyOf(items.values());
    }

    /**
     * Returns the revision up to which the copy is complete.
     *
     * @return the revision, zero if it was never complete
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the revision of the newest known change.
     *
     * @return the revision, zero if nothing is known
     */
    public long newestRevision() {
        return Math.max(newestRevision, revision);
    }

    /**
     * Returns a digest of all items, by which hosts of an earlier version compare their copies.
     *
     * @return the digest
     */
    public long digest() {
        return digest;
    }

    private static long digestOf(StoreItem item) {
        return RendezvousHashing.mix(RendezvousHashing.hash(item.key()) ^ item.revision());
    }
}
