package org.rattanplank.gateway.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.gateway.SteadyClock;

/**
 * Follows the store's items: lists them once, then waits for changes, and lists again when the changes are gone.
 *
 * <p>Invariants: an item's older revision never replaces a newer one; a key that is missing from a whole list made at a
 * higher revision than the key's is removed. What other hosts know is taken in the same way while the store is out.
 * Confined to its event loop.
 */
public final class StoreFeed {
    /**
     * How long the store holds a watch without changes. A connection that went silent is noticed this long and the
     * call's own limit after; short enough to find out within the time in which a host counts as out of touch.
     */
    static final long WATCH_MILLIS = 4_000;

    /** Changes come in groups; waiting so long before the next watch brings a group in one call. */
    private static final long GATHER_MILLIS = 150;

    /** The first wait after a failed call; short, as a store that refused once mostly answers next time. */
    private static final long FIRST_RETRY_MILLIS = 100;

    /** The longest wait after failed calls: what is learnt after an outage comes this much later at most. */
    private static final long LONGEST_RETRY_MILLIS = 800;

    /**
     * How old another host's word of what it knows may be: half a second between two such words in a large region, as much
     * on the way of a change, and as much again for hosts behind with their work.
     */
    private static final long KNEW_LATELY_MILLIS = 1_500;

    private final ClusterStore store;
    private final StoreFormat format;
    private final FeedListener listener;
    private final EventLoop loop;
    private final SteadyClock clock;
    private final RandomGenerator random;
    private final Map<String, Cursor> cursors = new HashMap<>();
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private boolean lost;
    private boolean leaseLost;
    private boolean following = true;
    private long digest;
    private final DigestHistory digests = new DigestHistory();
    private long newestRevision;
    private long lastAnswerMillis;

    private StoreFeed(
            ClusterStore store,
            StoreFormat format,
            FeedListener listener,
            EventLoop loop,
            SteadyClock clock,
            RandomGenerator random) {
        this.store = store;
        this.format = format;
        this.listener = listener;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        lastAnswerMillis = clock.nowMillis();
    }

    /**
     * Makes a feed that has not begun.
     *
     * @param store the store
     * @param format what its items say
     * @param listener told what is learnt
     * @param loop the event loop of all calls
     * @param clock the clock
     * @param random the source of jitter
     * @return the feed
     */
    public static StoreFeed of(
            ClusterStore store,
            StoreFormat format,
            FeedListener listener,
            EventLoop loop,
            SteadyClock clock,
            RandomGenerator random) {
        return new StoreFeed(store, format, listener, loop, clock, random);
    }

    /** Begins to list and follow. */
    public void start() {
        for (String prefix : format.prefixes()) {
            Cursor cursor = new Cursor(prefix);
            cursors.put(prefix, cursor);
            cursor.list("");
        }
    }

    /**
     * Follows the store from now on, or leaves that to other hosts that tell what they learn.
     *
     * @param wanted whether to follow
     */
    public void follow(boolean wanted) {
        boolean begins = wanted && !following;
        following = wanted;
        if (begins) {
            cursors.values().stream().filter(cursor -> !cursor.busy).forEach(cursor -> cursor.list(""));
        }
    }

    /**
     * Whether this host asks the store itself.
     *
     * @return whether it follows it
     */
    public boolean isFollowing() {
        return following;
    }

    /**
     * Takes note of whether the store answers calls that renew this host's lease.
     *
     * @param answered whether it does
     */
    public void leaseAnswered(boolean answered) {
        leaseLost = !answered;
    }

    /**
     * A sum over all that is known, by which two hosts see that they know the same.
     *
     * @return the sum
     */
    public long digest() {
        return digest;
    }

    /**
     * Whether a sum is this host's own, or was a moment ago: what another host says of itself is that old.
     *
     * @param sum the sum over what another host knows
     * @param nowMillis the time
     * @return whether the other host knows what this one knew of late
     */
    public boolean knewLately(long sum, long nowMillis) {
        return sum == digest || digests.held(sum, nowMillis - KNEW_LATELY_MILLIS);
    }

    /**
     * The newest change that is known, or known not to be there.
     *
     * @return its revision, zero if nothing is known
     */
    public long newestRevision() {
        return Math.max(newestRevision, revision());
    }

    /**
     * Whether the store answers.
     *
     * @return whether no call has failed since the last answer
     */
    public boolean isHealthy() {
        return !leaseLost && !(following && lost);
    }

    /**
     * Whether everything was listed at least once, from the store or from another host.
     *
     * @return whether it was
     */
    public boolean isComplete() {
        return cursors.values().stream().allMatch(cursor -> cursor.revision > 0);
    }

    /**
     * Time since the store answered last.
     *
     * @return milliseconds
     */
    public long ageMillis() {
        return clock.nowMillis() - lastAnswerMillis;
    }

    /**
     * The revision up to which everything is known.
     *
     * @return the revision, zero if something was never listed
     */
    public long revision() {
        return cursors.values().stream()
                .mapToLong(cursor -> cursor.revision)
                .min()
                .orElse(0);
    }

    /**
     * What is known, for a host that can't reach the store.
     *
     * @return the items
     */
    public Collection<StoreItem> items() {
        return List.copyOf(items.values());
    }

    /**
     * Takes what another host knows.
     *
     * @param revision the other host's revision
     * @param known all items that it knows
     */
    public void takeFromPeer(long revision, List<StoreItem> known) {
        if (following && !lost) {
            return;
        }
        Set<String> present = new HashSet<>();
        for (StoreItem item : known) {
            present.add(item.key());
            take(item);
        }
        for (Cursor cursor : cursors.values()) {
            if (revision >= cursor.revision) {
                removeMissing(cursor.prefix, present, revision);
                cursor.revision = revision;
            }
        }
    }

    /**
     * Takes changes that another host has just learnt.
     *
     * @param changes the changes
     */
    public void takeChanges(List<StoreItem> changes) {
        changes.forEach(this::take);
    }

    private void take(StoreItem item) {
        StoreItem known = items.get(item.key());
        long knownRevision = known != null ? known.revision() : removedAt.getOrDefault(item.key(), 0L);
        if (item.revision() <= knownRevision) {
            return;
        }
        digests.replaced(digest, clock.nowMillis());
        newestRevision = Math.max(newestRevision, item.revision());
        if (known != null) {
            digest ^= digestOf(known);
        }
        if (item.removed()) {
            items.remove(item.key());
            removedAt.put(item.key(), item.revision());
        } else {
            items.put(item.key(), item);
            digest ^= digestOf(item);
            removedAt.remove(item.key());
        }
        listener.learnt(item, format.read(item));
    }

    private void removeMissing(String prefix, Set<String> present, long revision) {
        List<String> missing = new ArrayList<>();
        for (StoreItem item : items.values()) {
            if (item.key().startsWith(prefix) && !present.contains(item.key()) && item.revision() <= revision) {
                missing.add(item.key());
            }
        }
        missing.forEach(key -> take(new StoreItem(key, new byte[0], revision, true)));
    }

    private static long digestOf(StoreItem item) {
        return Rendezvous.mix(Rendezvous.hash(item.key()) ^ item.revision());
    }

    private void answered() {
        lastAnswerMillis = clock.nowMillis();
        if (lost) {
            lost = false;
            listener.storeReturned();
        }
    }

    private void failed(StoreFailure failure) {
        if (!lost) {
            lost = true;
            listener.storeLost(failure);
        }
    }

    /** Follows the keys of one prefix. */
    private final class Cursor {
        private final String prefix;
        private final Set<String> listed = new HashSet<>();
        private long revision;
        private long listRevision;
        private long calledAtMillis;
        private boolean busy;
        private Backoff backoff = Backoff.of(0, FIRST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);

        private Cursor(String prefix) {
            this.prefix = prefix;
        }

        private void list(String after) {
            if (after.isEmpty()) {
                listed.clear();
                listRevision = Long.MAX_VALUE;
            }
            busy = true;
            calledAtMillis = clock.nowMillis();
            store.list(prefix, after, this::listed);
        }

        private void listed(Either<StoreFailure, StorePage> reply) {
            if (reply.isLeft()) {
                retry(reply.getLeft(), () -> list(""));
                return;
            }
            answered();
            listener.storeAnswered(clock.nowMillis() - calledAtMillis);
            StorePage page = reply.get();
            listener.read(FeedReading.LIST, page.valueBytes(), page.items().size(), clock.nowMillis() - calledAtMillis);
            // Pages are no snapshot: only the first page's revision is surely covered by all of them.
            listRevision = Math.min(listRevision, page.revision());
            page.items().forEach(item -> {
                listed.add(item.key());
                take(item);
            });
            if (page.more() && !page.items().isEmpty()) {
                list(page.items().get(page.items().size() - 1).key());
                return;
            }
            removeMissing(prefix, listed, listRevision);
            revision = Math.max(revision, listRevision);
            backoff = backoff.succeeded();
            watch();
        }

        private void watch() {
            busy = following;
            if (busy) {
                calledAtMillis = clock.nowMillis();
                store.watch(prefix, revision, WATCH_MILLIS, this::watched);
            }
        }

        private void watched(Either<StoreFailure, StorePage> reply) {
            if (reply.isLeft()) {
                StoreFailure failure = reply.getLeft();
                if (failure == StoreFailure.HISTORY_GONE) {
                    list("");
                } else if (failure == StoreFailure.NO_ANSWER && ageMillis() < WATCH_MILLIS) {
                    // A waiting watch may be cut though the store is well; following on costs one call.
                    retryQuietly(this::watch);
                } else {
                    // After an outage the changes in between may be gone without a word, so everything is listed anew.
                    retry(failure, () -> list(""));
                }
                return;
            }
            answered();
            backoff = backoff.succeeded();
            StorePage page = reply.get();
            listener.read(
                    FeedReading.WATCH, page.valueBytes(), page.items().size(), clock.nowMillis() - calledAtMillis);
            page.items().forEach(StoreFeed.this::take);
            revision = Math.max(revision, page.revision());
            if (page.items().isEmpty()) {
                watch();
            } else {
                loop.schedule(this::watch, GATHER_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void retry(StoreFailure failure, Runnable next) {
            failed(failure);
            retryQuietly(next);
        }

        private void retryQuietly(Runnable next) {
            backoff = backoff.failed();
            loop.schedule(next, backoff.delayMillis(random), TimeUnit.MILLISECONDS);
        }
    }
}
