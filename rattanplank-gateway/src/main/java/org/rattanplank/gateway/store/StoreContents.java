package org.rattanplank.gateway.store;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.control.Option;

/**
 * Items and removals of a host's local copy of the store, as sent to another host. Immutable and thread safe.
 *
 * @param baseRevision the revision since which the items are all changes; zero if they are all items of the store
 * @param revision the revision up to which the items are complete; zero if they are only some of the changes
 * @param removalsSinceRevision the revision since which the removals among them are complete
 * @param items the items and removals, the newest of each key
 * @param presentKeys the keys of all items that are there, by which the receiver finds removals that aren't among them; none
 *     if all removals are
 */
public record StoreContents(
        long baseRevision,
        long revision,
        long removalsSinceRevision,
        List<StoreItem> items,
        Option<Set<String>> presentKeys) {
    public StoreContents {
        items = List.copyOf(items);
        presentKeys = presentKeys.map(Set::copyOf);
        if (baseRevision == 0 && revision > 0 && presentKeys.isEmpty()) {
            throw new IllegalArgumentException("all items up to revision " + revision + " without their keys");
        }
    }

    /**
     * Creates the contents of a whole copy.
     *
     * @param revision the revision up to which it is complete
     * @param removalsSinceRevision the revision since which it knows all removals
     * @param items all its items, and the removals since the revision
     * @return the contents
     */
    public static StoreContents all(long revision, long removalsSinceRevision, List<StoreItem> items) {
        Set<String> keys = items.stream().map(StoreItem::key).collect(Collectors.toSet());
        return new StoreContents(0, revision, removalsSinceRevision, items, Option.some(keys));
    }

    /**
     * Creates the contents of a whole copy that knows all removals since its revision.
     *
     * @param revision the revision up to which it is complete
     * @param items all its items
     * @return the contents
     */
    public static StoreContents all(long revision, List<StoreItem> items) {
        return all(revision, revision, items);
    }

    /**
     * Creates the changes since a revision, with all removals since.
     *
     * @param baseRevision the revision
     * @param revision the revision up to which they are complete
     * @param items the items and removals
     * @return the contents
     */
    public static StoreContents changes(long baseRevision, long revision, List<StoreItem> items) {
        return new StoreContents(baseRevision, revision, baseRevision, items, Option.none());
    }

    /**
     * Returns the same contents with the store's own numbers as revisions, for a host that knows no eras.
     *
     * @return the contents
     */
    public StoreContents withoutEras() {
        List<StoreItem> numbered = items.stream()
                .map(item ->
                        new StoreItem(item.key(), item.value(), StoreRevision.number(item.revision()), item.removed()))
                .toList();
        return new StoreContents(
                StoreRevision.number(baseRevision),
                StoreRevision.number(revision),
                StoreRevision.number(removalsSinceRevision),
                numbered,
                presentKeys);
    }

    /**
     * Creates contents that are only some of the changes.
     *
     * @param items the items and removals
     * @return the contents
     */
    public static StoreContents some(List<StoreItem> items) {
        return new StoreContents(0, 0, 0, items, Option.none());
    }
}
