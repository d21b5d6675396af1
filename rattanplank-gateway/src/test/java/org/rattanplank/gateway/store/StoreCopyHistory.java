package org.rattanplank.gateway.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * A random history of a store and of the local copies of some hosts, which read the store and tell each other what they know
 * in any order, late or not at all. Confined to one thread.
 */
final class StoreCopyHistory {
    private static final int KEYS = 4;
    private static final int HOSTS = 4;
    private static final int OPERATIONS = 9;

    private final Random random;
    private final NavigableMap<Long, StoreItem> history = new TreeMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;

    StoreCopyHistory(long seed) {
        random = new Random(seed);
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host());
        }
    }

    /** Does one random step. */
    void step() {
        Host host = hosts.get(random.nextInt(HOSTS));
        Host other = hosts.get(random.nextInt(HOSTS));
        switch (random.nextInt(OPERATIONS)) {
            case 0, 1 -> change(random.nextBoolean());
            case 2 -> host.watch();
            case 3 -> host.list();
            case 4 -> other.report();
            case 5 -> host.tellSome(other);
            case 6 -> host.tellAll(other);
            case 7 -> other.receive();
            default -> disturb(host);
        }
    }

    private void disturb(Host host) {
        switch (random.nextInt(4)) {
            case 0 -> host.restart();
            case 1 -> forgetHistory();
            default -> change(true);
        }
    }

    private void forgetHistory() {
        compactedRevision = revision;
    }

    private void change(boolean removed) {
        String key = "key-" + random.nextInt(KEYS);
        if (removed && !stateAt(revision).containsKey(key)) {
            return;
        }
        revision++;
        history.put(revision, new StoreItem(key, new byte[0], revision, removed));
    }

    /** Returns the revisions of the items that were present at a revision. */
    private Map<String, Long> stateAt(long atRevision) {
        Map<String, Long> present = new TreeMap<>();
        history.headMap(atRevision, true).values().forEach(item -> {
            if (item.removed()) {
                present.remove(item.key());
            } else {
                present.put(item.key(), item.revision());
            }
        });
        return present;
    }

    /** Returns what the copies believe wrongly of the revisions up to which they are complete. */
    List<String> faults() {
        List<String> faults = new ArrayList<>();
        for (Host host : hosts) {
            host.addFaults(faults);
        }
        return faults;
    }

    /** The keys of the first page of a listing, and the store's revision at which it was read. */
    private record Listing(Set<String> keys, long revision) {}

    private final class Host {
        private final Deque<StoreContents> inFlight = new ArrayDeque<>();
        private StoreCopy copy = new StoreCopy();
        private long reportedRevision;
        private long reportedNewestRevision;
        private Option<Listing> listing = Option.none();

        private void restart() {
            copy = new StoreCopy();
            listing = Option.none();
            inFlight.clear();
            report();
        }

        private void report() {
            reportedRevision = copy.revision();
            reportedNewestRevision = copy.newestRevision();
        }

        private void watch() {
            if (copy.revision() > 0 && copy.revision() >= compactedRevision) {
                history.tailMap(copy.revision(), false).values().forEach(copy::apply);
                copy.completeUpTo(revision);
            }
        }

        /** Lists the first half of the keys, and the other half when it is called again. */
        private void list() {
            boolean first = listing.isEmpty();
            Listing current = listing.getOrElse(() -> new Listing(new HashSet<>(), revision));
            stateAt(revision).forEach((key, itemRevision) -> {
                if (key.compareTo("key-" + KEYS / 2) < 0 == first) {
                    current.keys().add(key);
                    copy.applyListed(new StoreItem(key, new byte[0], itemRevision, false), revision);
                }
            });
            listing = Option.when(first, current);
            if (!first) {
                copy.completeListing(current.keys(), current.revision(), revision);
            }
        }

        private void tellSome(Host other) {
            List<StoreItem> changes = List.copyOf(copy.changesSince(other.reportedRevision));
            if (copy.revision() > 0 && !changes.isEmpty()) {
                other.inFlight.add(StoreContents.some(List.of(changes.get(random.nextInt(changes.size())))));
            }
        }

        private void tellAll(Host other) {
            if (copy.revision() == 0) {
                return;
            }
            long baseRevision = other.reportedRevision;
            boolean withKeys = !copy.knowsRemovalsSince(baseRevision, other.reportedNewestRevision);
            List<StoreItem> items =
                    baseRevision == 0 ? copy.itemsAndNewerRemovals() : List.copyOf(copy.changesSince(baseRevision));
            other.inFlight.add(copy.contents(baseRevision, items, baseRevision > 0 && withKeys));
        }

        private void receive() {
            if (!inFlight.isEmpty()) {
                copy.merge(inFlight.poll());
            }
        }

        private void addFaults(List<String> faults) {
            if (copy.revision() == 0) {
                return;
            }
            Map<String, Long> present = stateAt(copy.revision());
            Set<String> known = new HashSet<>();
            for (StoreItem item : copy.items()) {
                known.add(item.key());
                boolean stale = item.revision() <= copy.revision()
                        && !Option.of(present.get(item.key())).contains(item.revision());
                if (stale) {
                    faults.add("believes in " + item.key() + " of " + item.revision() + " at " + copy.revision());
                }
            }
            Map<String, Long> presentNow = stateAt(revision);
            present.forEach((key, itemRevision) -> {
                boolean unchanged = itemRevision.equals(presentNow.get(key));
                if (unchanged && !known.contains(key)) {
                    faults.add("lacks " + key + " of " + itemRevision + " at " + copy.revision());
                }
            });
        }
    }
}
