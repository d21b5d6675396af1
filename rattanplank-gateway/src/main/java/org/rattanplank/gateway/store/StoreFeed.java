package org.rattanplank.gateway.store;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import org.rattanplank.core.gateway.LinkShare;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.gateway.SteadyClock;

/**
 * Follows the store's items: lists them once, then waits for changes, and lists again when the changes are gone.
 *
 * <p>Invariants: a key that is missing from a whole list made at a higher revision than the key's is removed; what is read
 * takes {@link #READ_SHARE} of the host's link on the average, one list and one watch ahead. What other hosts know is taken
 * at any time. Confined to its event loop.
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

    /** The part of the host's link that answers of the store may take; the rest is for callers. */
    private static final double READ_SHARE = 0.4;

    /**
     * After a longer pause everything is listed: a watch brings each version of an item that was written meanwhile, a list
     * the newest alone.
     */
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    /** A host whose calls failed while it followed the store counts as turned away for so long after it left off. */
    private static final long TURNED_AWAY_MILLIS = 2_000;

    /** Values come as base64 text, which takes four bytes for three. */
    private static final double WIRE_BYTES_PER_BYTE = 4.0 / 3;

    private final ClusterStore store;
    private final StoreFormat format;
    private final FeedListener listener;
    private final EventLoop loop;
    private final SteadyClock clock;
    private final RandomGenerator random;
    private final LinkShare reading;
    private final StoreCopy copy = new StoreCopy();
    private final Set<String> listed = new HashSet<>();
    private Backoff backoff = Backoff.of(0, FIRST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
    private long listRevision;
    private long calledAtMillis;
    private long lastAnswerMillis;
    private long lostAtMillis;
    private boolean busy;
    private boolean lost;
    private boolean leaseLost;
    private boolean following = true;

    private StoreFeed(
            ClusterStore store,
            StoreFormat format,
            FeedListener listener,
            EventLoop loop,
            SteadyClock clock,
            RandomGenerator random,
            long linkBytesPerMilli) {
        this.store = store;
        this.format = format;
        this.listener = listener;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        reading = LinkShare.of(linkBytesPerMilli, READ_SHARE);
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
     * @param linkBytesPerMilli what this host's link takes
     * @return the feed
     */
    public static StoreFeed of(
            ClusterStore store,
            StoreFormat format,
            FeedListener listener,
            EventLoop loop,
            SteadyClock clock,
            RandomGenerator random,
            long linkBytesPerMilli) {
        return new StoreFeed(store, format, listener, loop, clock, random, linkBytesPerMilli);
    }

    /** Begins to list and follow. */
    public void start() {
        busy = true;
        list("");
    }

    /**
     * Follows the store from now on, or leaves that to other hosts that tell what they learn. A host that knows everything
     * up to some revision asks for the changes since.
     *
     * @param wanted whether to follow
     */
    public void follow(boolean wanted) {
        if (following && !wanted && lost) {
            lostAtMillis = clock.nowMillis();
        }
        following = wanted;
        if (wanted && !busy) {
            busy = true;
            if (isComplete()) {
                watch();
            } else {
                list("");
            }
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
     * Whether the store answers.
     *
     * @return whether no call has failed since the last answer, or of late if it is no longer followed
     */
    public boolean isHealthy() {
        boolean turnedAway = lost && (following || clock.nowMillis() - lostAtMillis < TURNED_AWAY_MILLIS);
        return !leaseLost && !turnedAway;
    }

    /**
     * Whether everything was listed at least once, from the store or from another host.
     *
     * @return whether it was
     */
    public boolean isComplete() {
        return copy.revision() > 0;
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
     * What is known.
     *
     * @return the items and the revision up to which they are all
     */
    public StoreCopy copy() {
        return copy;
    }

    /**
     * Takes what another host knows.
     *
     * @param base the revision since which these are all changes; zero if these are all items
     * @param revision the revision up to which they are; zero if they are only some of the changes
     * @param known the items and removals
     */
    public void takeFromPeer(long base, long revision, List<StoreItem> known) {
        copy.merge(base, revision, known).forEach(this::learnt);
    }

    private void take(StoreItem item) {
        if (copy.take(item)) {
            learnt(item);
        }
    }

    private void learnt(StoreItem item) {
        listener.learnt(item, format.read(item));
    }

    private void list(String after) {
        if (!following && isComplete()) {
            busy = false;
            return;
        }
        if (after.isEmpty()) {
            listed.clear();
            listRevision = Long.MAX_VALUE;
        }
        calledAtMillis = clock.nowMillis();
        store.list(format.prefix(), after, this::listed);
    }

    private void listed(Either<StoreFailure, StorePage> reply) {
        if (reply.isLeft()) {
            retry(reply.getLeft(), () -> list(""));
            return;
        }
        answered();
        listener.storeAnswered(clock.nowMillis() - calledAtMillis);
        StorePage page = reply.get();
        took(FeedReading.LIST, page);
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
        copy.absentFrom(listed, listRevision).forEach(this::take);
        copy.complete(listRevision);
        backoff = backoff.succeeded();
        watch();
    }

    private void watch() {
        busy = following;
        if (busy) {
            calledAtMillis = clock.nowMillis();
            store.watch(format.prefix(), copy.revision(), WATCH_MILLIS, this::watched);
        }
    }

    private void watched(Either<StoreFailure, StorePage> reply) {
        if (reply.isLeft()) {
            watchFailed(reply.getLeft());
            return;
        }
        answered();
        backoff = backoff.succeeded();
        StorePage page = reply.get();
        took(FeedReading.WATCH, page);
        page.items().forEach(this::take);
        copy.complete(page.revision());
        if (page.items().isEmpty()) {
            watch();
            return;
        }
        long pauseMillis = Math.max(GATHER_MILLIS, reading.delayMillis(clock.nowMillis()));
        Runnable next = pauseMillis > LONGEST_PAUSE_MILLIS ? () -> list("") : this::watch;
        loop.schedule(next, pauseMillis, TimeUnit.MILLISECONDS);
    }

    private void watchFailed(StoreFailure failure) {
        if (failure == StoreFailure.HISTORY_GONE) {
            long pauseMillis = reading.delayMillis(clock.nowMillis());
            loop.schedule(() -> list(""), pauseMillis, TimeUnit.MILLISECONDS);
        } else if (failure == StoreFailure.NO_ANSWER && ageMillis() < WATCH_MILLIS) {
            // A waiting watch may be cut though the store is well; following on costs one call.
            retryQuietly(this::watch);
        } else {
            // After an outage the changes in between may be gone without a word, so everything is listed anew.
            retry(failure, () -> list(""));
        }
    }

    private void took(FeedReading how, StorePage page) {
        long bytes = page.valueBytes();
        reading.consume(Math.round(bytes * WIRE_BYTES_PER_BYTE), clock.nowMillis());
        listener.read(how, bytes, page.items().size(), clock.nowMillis() - calledAtMillis);
    }

    private void answered() {
        lastAnswerMillis = clock.nowMillis();
        if (lost) {
            lost = false;
            listener.storeReturned();
        }
    }

    private void retry(StoreFailure failure, Runnable next) {
        if (!lost) {
            lost = true;
            listener.storeLost(failure);
        }
        retryQuietly(next);
    }

    private void retryQuietly(Runnable next) {
        backoff = backoff.failed();
        long pauseMillis = Math.max(backoff.delayMillis(random), reading.delayMillis(clock.nowMillis()));
        loop.schedule(next, pauseMillis, TimeUnit.MILLISECONDS);
    }
}
