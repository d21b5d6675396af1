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

import io.vavr.control.Option;
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
    private RemovalHistory removalHistory = RemovalHistory.NONE;
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
     * @param contents the contents
     * @return the items and removals that are newer than the known ones
     */
    public List<StoreItem> merge(StoreContents contents) {
        List<StoreItem> newer = new ArrayList<>();
        for (StoreItem item : contents.items()) {
            if (!isKnownRemoved(item) && apply(item)) {
                newer.add(item);
            }
        }
        boolean partial = contents.revision() == 0;
        if (partial
                || contents.revision() < revision
                || contents.baseRevision() > revision
                || mayLackRemovals(contents)) {
            return newer;
        }
        contents.presentKeys().forEach(keys -> newer.addAll(applyRemovalsMissingFrom(keys, contents.revision())));
        removalHistory = removalHistory.withGap(revision, contents.removalsSinceRevision());
        completeUpTo(contents.revision());
        return newer;
    }

    /**
     * Returns whether contents may lack the removal of an item that this copy has. Their sender judged by a report of what
     * this copy knew, which may have learnt of the item since.
     *
     * @param contents the contents
     * @return whether an item is in doubt, so that the contents don't make the copy complete
     */
    public boolean mayLackRemovals(StoreContents contents) {
        if (contents.presentKeys().isDefined() || contents.removalsSinceRevision() <= contents.baseRevision()) {
            return false;
        }
        Set<String> told = new HashSet<>();
        contents.items().forEach(item -> told.add(item.key()));
        return changesSince(contents.baseRevision()).stream()
                .anyMatch(item -> !item.removed()
                        && item.revision() <= contents.removalsSinceRevision()
                        && !told.contains(item.key()));
    }

    /**
     * Marks the copy as complete up to a revision, all changes up to which were applied.
     *
     * @param upTo the revision
     */
    public void completeUpTo(long upTo) {
        revision = Math.max(revision, upTo);
    }

    /**
     * Removes the known items that are missing from a full listing, and marks the copy as complete up to its revision.
     *
     * @param present the keys of the listing, whose items were applied
     * @param listRevision the lowest revision at which a page of the listing was read
     * @param lastPageRevision the highest such revision; items that were removed between the two may be missing
     * @return the removals
     */
    public List<StoreItem> completeListing(Set<String> present, long listRevision, long lastPageRevision) {
        List<StoreItem> removals = applyRemovalsMissingFrom(present, listRevision);
        removalHistory = removalHistory.withGap(revision, lastPageRevision);
        completeUpTo(listRevision);
        return removals;
    }

    private List<StoreItem> applyRemovalsMissingFrom(Set<String> present, long listRevision) {
        List<StoreItem> removals = new ArrayList<>();
        for (StoreItem item : items.values()) {
            if (!present.contains(item.key()) && item.revision() <= listRevision) {
                removals.add(new StoreItem(item.key(), new byte[0], listRevision, true));
            }
        }
        removals.removeIf(removal -> !apply(removal));
        return removals;
    }

    /**
     * Returns whether another copy learns all that it lacks from the changes since a revision.
     *
     * @param baseRevision the revision, up to which the other copy is complete
     * @param itsNewestRevision the revision of the newest item in the other copy
     * @return whether this copy knows all removals since; if not, the other one needs the keys of all items, too
     */
    public boolean knowsRemovalsSince(long baseRevision, long itsNewestRevision) {
        return removalHistory.coversSince(baseRevision, itsNewestRevision);
    }

    /**
     * Returns the contents for another copy that is complete up to a revision.
     *
     * @param baseRevision the revision, or zero if all items are needed
     * @param changed the changes since, or {@link #itemsAndNewerRemovals}
     * @param withKeys whether the keys of all items are needed, too
     * @return the contents
     */
    public StoreContents contents(long baseRevision, List<StoreItem> changed, boolean withKeys) {
        return baseRevision == 0
                ? StoreContents.all(revision, removalHistory.completeSince(revision), changed)
                : new StoreContents(
                        baseRevision,
                        revision,
                        removalHistory.completeSince(baseRevision),
                        changed,
                        Option.when(withKeys, items::keySet));
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
     * Returns all items, and the removals since the revision up to which the copy is complete: without them it lacks items
     * that were still there at that revision.
     *
     * @return the items and removals
     */
    public List<StoreItem> itemsAndNewerRemovals() {
        List<StoreItem> all = new ArrayList<>(items.values());
        changesSince(revision).stream().filter(StoreItem::removed).forEach(all::add);
        return all;
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
     * Returns the era of the store up to which the copy is complete.
     *
     * @return the era, zero if the copy was never complete or the store reported none
     */
    public long era() {
        return StoreRevision.era(revision);
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
     * Returns a digest of all items, by which hosts compare their copies.
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
