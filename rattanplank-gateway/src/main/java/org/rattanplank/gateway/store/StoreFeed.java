package org.rattanplank.gateway.store;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import org.rattanplank.core.gateway.LinkRateLimiter;
import org.rattanplank.core.gateway.WatchPacer;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.gateway.MonotonicClock;

/**
 * Watches the store's items: lists them once, then waits for changes, and lists again when the store no longer has the
 * changes.
 *
 * <p>Invariants: a key that is missing from a full listing at a higher revision than the key's is removed; reads use
 * {@link #READ_SHARE} of the host's link on average, plus one listing and one watch ahead; changes of a later era than the
 * revision they follow are not applied, but the store is listed; an item that fails leaves out no other. Contents sent
 * by other hosts are merged at any time. Confined to its event loop.
 */
public final class StoreFeed {
    /**
     * How long the store holds a watch without changes. An unresponsive connection is detected after this time plus the
     * call's own time-out; the sum must stay below the time after which a host counts as disconnected.
     */
    static final long WATCH_TIMEOUT_MILLIS = 4_000;

    /** The first delay after a failed call; short, as a store that rejected one call usually accepts the next. */
    private static final long MIN_RETRY_MILLIS = 100;

    /** The maximum delay after failed calls, which bounds how late changes are observed after an outage. */
    private static final long MAX_RETRY_MILLIS = 800;

    /** The fraction of the host's link that responses of the store may use; the rest is for callers. */
    private static final double READ_SHARE = 0.4;

    /**
     * After a longer pause everything is listed: a watch returns each version of an item written during the pause, a
     * listing only the newest.
     */
    private static final long MAX_WATCH_PAUSE_MILLIS = 1_000;

    /**
     * The minimum interval between two listings because of a copy that differs. Another host may be wrong, too, and stay so
     * if it is of an earlier version.
     */
    private static final long MIN_VERIFICATION_INTERVAL_MILLIS = 5_000;

    /**
     * A watch counts as silent when it has returned nothing for so long although another host has a newer revision: changes
     * reach all watching hosts within a few hundred milliseconds.
     */
    static final long SILENT_WATCH_MILLIS = 1_000;

    /** A watch whose response is being received isn't silent; responses to lease renewals are far smaller than this. */
    private static final long SILENT_WATCH_MAX_BYTES = 4 << 10;

    /** How long a host whose calls failed while it watched the store stays unhealthy after it stops watching. */
    private static final long UNHEALTHY_HOLD_MILLIS = 2_000;

    /** Values are transferred as base64 text, which takes four bytes for three. */
    private static final double BASE64_BYTES_PER_BYTE = 4.0 / 3;

    private final ClusterStore store;
    private final StoreFormat format;
    private final FeedListener listener;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final LinkRateLimiter readLimiter;
    private final WatchPacer watchPacer = new WatchPacer();
    private final StoreCopy copy = new StoreCopy();
    private final CopyLag lag = new CopyLag();
    private Backoff backoff = Backoff.of(0, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private long calledAtMillis;
    private long currentWatch;
    private boolean watchPending;
    private boolean watchSilent;
    private long bytesReceived;
    private long bytesReceivedAtMillis;
    private long verifiedAtMillis = Long.MIN_VALUE / 2;
    private long lastResponseMillis;
    private long unavailableAtMillis;
    private boolean active;
    private boolean unavailable;
    private boolean leaseFailing;
    private boolean watching = true;

    private StoreFeed(
            ClusterStore store,
            StoreFormat format,
            FeedListener listener,
            EventLoop loop,
            MonotonicClock clock,
            RandomGenerator random,
            long linkBytesPerMilli) {
        this.store = store;
        this.format = format;
        this.listener = listener;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        readLimiter = LinkRateLimiter.of(linkBytesPerMilli, READ_SHARE);
        lastResponseMillis = clock.nowMillis();
    }

    /**
     * Creates a feed that is not started.
     *
     * @param store the store
     * @param format decodes the items
     * @param listener receives the events of the feed
     * @param loop the event loop of all calls
     * @param clock the clock
     * @param random the source of jitter
     * @param linkBytesPerMilli the bandwidth of this host's link, in bytes per millisecond
     * @return the feed
     */
    public static StoreFeed of(
            ClusterStore store,
            StoreFormat format,
            FeedListener listener,
            EventLoop loop,
            MonotonicClock clock,
            RandomGenerator random,
            long linkBytesPerMilli) {
        return new StoreFeed(store, format, listener, loop, clock, random, linkBytesPerMilli);
    }

    /** Lists all items and watches for changes from then on. */
    public void start() {
        active = true;
        listAll();
    }

    /**
     * Starts to watch the store, or leaves that to other hosts that send changes to this one. A host whose copy is complete
     * up to some revision requests the changes since.
     *
     * @param wanted whether to watch
     */
    public void setWatching(boolean wanted) {
        if (watching && !wanted && unavailable) {
            unavailableAtMillis = clock.nowMillis();
        }
        watching = wanted;
        if (wanted && !active) {
            active = true;
            if (isComplete()) {
                watch();
            } else {
                listAll();
            }
        }
    }

    /**
     * Abandons a watch that has outlived the store's era, or that is silent although another host has a newer revision, and
     * lists the store. The connection of the
     * watch may be dead, which would show only when the watch times out; until then this host would believe in targets that
     * have left, and other hosts would take it for up to date.
     */
    public void tick() {
        long now = clock.nowMillis();
        long received = store.traffic().receivedBytes();
        if (!watchPending || received - bytesReceived >= SILENT_WATCH_MAX_BYTES) {
            bytesReceived = received;
            bytesReceivedAtMillis = now;
        }
        if (watchPending && store.era() > copy.era()) {
            abandonWatch();
            listPage(new Listing(false), "");
            return;
        }
        if (watchPending && now - bytesReceivedAtMillis >= SILENT_WATCH_MILLIS && lagMillis() >= SILENT_WATCH_MILLIS) {
            watchSilent = true;
            abandonWatch();
            listener.watchSilent(lagMillis(), copy.revision());
            listPage(new Listing(false), "");
        }
    }

    private void abandonWatch() {
        watchPending = false;
        currentWatch++;
    }

    /**
     * Returns whether this host watches the store itself.
     *
     * @return whether it does
     */
    public boolean isWatching() {
        return watching;
    }

    /**
     * Records whether the store responds to the calls that renew this host's lease.
     *
     * @param responds whether it does
     */
    public void updateLeaseHealth(boolean responds) {
        leaseFailing = !responds;
    }

    /**
     * Returns whether the store responds to this host.
     *
     * @return whether no call has failed since the last response, or recently if the store is no longer watched, and no watch
     *     is silent
     */
    public boolean isHealthy() {
        boolean unhealthy =
                unavailable && (watching || clock.nowMillis() - unavailableAtMillis < UNHEALTHY_HOLD_MILLIS);
        return !leaseFailing && !watchSilent && !unhealthy;
    }

    /**
     * Returns whether a full listing was received at least once, from the store or from another host.
     *
     * @return whether it was
     */
    public boolean isComplete() {
        return copy.revision() > 0;
    }

    /**
     * Returns the time since the last response of the store.
     *
     * @return milliseconds
     */
    public long lastResponseAgeMillis() {
        return clock.nowMillis() - lastResponseMillis;
    }

    /**
     * Compares the local copy with that of another host that watches the store. If they differ at the same revision, one of
     * them is wrong, and this host lists the store.
     *
     * @param peer the name of the other host
     * @param peerRevision the revision up to which its copy is complete, without newer items
     * @param peerDigest the digest of its copy
     */
    public void verify(String peer, long peerRevision, long peerDigest) {
        if (copy.revision() == peerRevision && copy.newestRevision() == peerRevision && copy.digest() != peerDigest) {
            verifyByListing(peer, peerRevision);
        }
    }

    private void verifyByListing(String peer, long peerRevision) {
        long now = clock.nowMillis();
        if (now - verifiedAtMillis < MIN_VERIFICATION_INTERVAL_MILLIS) {
            return;
        }
        verifiedAtMillis = now;
        listener.copyDiffers(peer, peerRevision);
        listPage(new Listing(true), "");
    }

    /**
     * Records the revision up to which another host's copy is complete.
     *
     * @param revision the revision
     */
    public void peerRevisionReported(long revision) {
        lag.heard(revision, clock.nowMillis());
    }

    /**
     * Returns for how long this host's copy has lacked changes that another host has.
     *
     * @return milliseconds
     */
    public long lagMillis() {
        return lag.millis(copy.revision(), clock.nowMillis());
    }

    /**
     * Returns the highest revision up to which another host's copy is complete.
     *
     * @return the revision, zero if none was reported
     */
    public long newestReportedRevision() {
        return lag.newestRevision();
    }

    /**
     * Returns the local copy of the store.
     *
     * @return the copy
     */
    public StoreCopy copy() {
        return copy;
    }

    /**
     * Merges the contents that another host has sent.
     *
     * @param peer the name of the host
     * @param contents the contents
     */
    public void mergeFromPeer(String peer, StoreContents contents) {
        long copyRevision = copy.revision();
        recordRestore(contents.revision());
        for (StoreItem item : copy.merge(contents)) {
            notifyListener(item, peer, copyRevision);
        }
        if (contents.revision() > copy.revision() && copy.mayLackRemovals(contents)) {
            verifyByListing(peer, contents.revision());
        }
    }

    private void recordRestore(long revision) {
        if (isComplete() && StoreRevision.era(revision) > copy.era()) {
            listener.storeRestored(copy.revision(), revision);
        }
    }

    /**
     * Reports a change. An item that can't be applied counts as unreadable: if the failure left this method, the items
     * behind it would be ignored and the store never be called again.
     */
    private void notifyListener(StoreItem item, String source, long copyRevision) {
        StoreChange change = new StoreChange(item, source, copyRevision);
        try {
            listener.itemChanged(change, format.read(item));
        } catch (RuntimeException | StackOverflowError e) {
            listener.itemChanged(change, format.unreadable(item, e.toString()));
        }
    }

    private void listAll() {
        if (!watching && isComplete()) {
            active = false;
            return;
        }
        listPage(new Listing(false), "");
    }

    private void listPage(Listing listing, String after) {
        long calledMillis = clock.nowMillis();
        store.list(format.prefix(), after, reply -> pageListed(listing, calledMillis, reply));
    }

    private void pageListed(Listing listing, long calledMillis, Either<StoreFailure, StorePage> reply) {
        if (reply.isLeft()) {
            listingFailed(listing, reply.getLeft());
            return;
        }
        responseReceived();
        listener.storeResponded(clock.nowMillis() - calledMillis);
        StorePage page = reply.get();
        recordPage(StoreReadKind.LIST, page, calledMillis);
        if (!listing.continuesWith(page.revision()) || StoreRevision.era(page.revision()) < copy.era()) {
            scheduleRetry(() -> listPage(new Listing(listing.verification), ""));
            return;
        }
        listing.revision = Math.min(listing.revision, page.revision());
        listing.lastPageRevision = Math.max(listing.lastPageRevision, page.revision());
        page.items().forEach(item -> {
            listing.keys.add(item.key());
            if (copy.applyListed(item, page.revision())) {
                notifyListener(item, StoreReadKind.LIST.name(), copy.revision());
            }
        });
        if (!page.hasMore() || page.items().isEmpty()) {
            listed(listing);
        } else if (listing.verification || watching || !isComplete()) {
            listPage(listing, page.items().get(page.items().size() - 1).key());
        } else {
            active = false;
        }
    }

    private void listed(Listing listing) {
        long copyRevision = copy.revision();
        recordRestore(listing.revision);
        for (StoreItem removal : copy.completeListing(listing.keys, listing.revision, listing.lastPageRevision)) {
            notifyListener(removal, StoreReadKind.LIST.name(), copyRevision);
        }
        if (!listing.verification) {
            backoff = backoff.succeeded();
            watch();
        }
    }

    private void listingFailed(Listing listing, StoreFailure failure) {
        watchSilent = false;
        // A difference that is still there is reported again.
        if (!listing.verification) {
            markUnavailableAndRetry(failure, this::listAll);
        }
    }

    private void watch() {
        active = watching;
        if (active) {
            calledAtMillis = clock.nowMillis();
            watchPending = true;
            long watch = ++currentWatch;
            long revision = copy.revision();
            store.watch(format.prefix(), revision, WATCH_TIMEOUT_MILLIS, reply -> watchReplied(watch, revision, reply));
        }
    }

    private void watchReplied(long watch, long watchedRevision, Either<StoreFailure, StorePage> reply) {
        if (watch != currentWatch) {
            return;
        }
        watchPending = false;
        if (reply.isLeft()) {
            watchFailed(reply.getLeft());
            return;
        }
        responseReceived();
        backoff = backoff.succeeded();
        StorePage page = reply.get();
        recordPage(StoreReadKind.WATCH, page, calledAtMillis);
        if (!StoreRevision.isSameEra(page.revision(), watchedRevision)) {
            listAll();
            return;
        }
        for (StoreItem item : page.items()) {
            if (copy.apply(item)) {
                notifyListener(item, StoreReadKind.WATCH.name(), copy.revision());
            }
        }
        copy.completeUpTo(page.revision());
        if (page.items().isEmpty()) {
            watch();
            return;
        }
        long waitedMillis = clock.nowMillis() - calledAtMillis;
        long pauseMillis =
                Math.max(watchPacer.pauseAfterChanges(waitedMillis), readLimiter.delayMillis(clock.nowMillis()));
        Runnable next = pauseMillis > MAX_WATCH_PAUSE_MILLIS ? this::listAll : this::watch;
        loop.schedule(next, pauseMillis, TimeUnit.MILLISECONDS);
    }

    private void watchFailed(StoreFailure failure) {
        if (failure == StoreFailure.HISTORY_GONE) {
            long pauseMillis = readLimiter.delayMillis(clock.nowMillis());
            loop.schedule(this::listAll, pauseMillis, TimeUnit.MILLISECONDS);
        } else if (failure == StoreFailure.NO_ANSWER && lastResponseAgeMillis() < WATCH_TIMEOUT_MILLIS) {
            // A waiting watch may be closed although the store is healthy; watching again costs one call.
            scheduleRetry(this::watch);
        } else {
            // After an outage changes may be missing without an error, so everything is listed again.
            markUnavailableAndRetry(failure, this::listAll);
        }
    }

    private void recordPage(StoreReadKind kind, StorePage page, long calledMillis) {
        long bytes = page.valueBytes();
        readLimiter.consume(Math.round(bytes * BASE64_BYTES_PER_BYTE), clock.nowMillis());
        listener.pageReceived(kind, bytes, page.items().size(), clock.nowMillis() - calledMillis);
    }

    private void responseReceived() {
        lastResponseMillis = clock.nowMillis();
        watchSilent = false;
        if (unavailable) {
            unavailable = false;
            listener.storeRecovered();
        }
    }

    private void markUnavailableAndRetry(StoreFailure failure, Runnable next) {
        if (!unavailable) {
            unavailable = true;
            listener.storeUnavailable(failure);
        }
        scheduleRetry(next);
    }

    private void scheduleRetry(Runnable next) {
        backoff = backoff.failed();
        long pauseMillis = Math.max(backoff.delayMillis(random), readLimiter.delayMillis(clock.nowMillis()));
        loop.schedule(next, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** The pages of one listing that were read so far. */
    private static final class Listing {
        /** Whether it only verifies the copy, beside the watch. */
        private final boolean verification;

        private final Set<String> keys = new HashSet<>();

        /** The lowest revision of a page: pages are not a snapshot, and all of them cover only that of the first for sure. */
        private long revision = Long.MAX_VALUE;

        /** The highest revision of a page. */
        private long lastPageRevision;

        private Listing(boolean verification) {
            this.verification = verification;
        }

        /** Returns whether a page shows the same history of the store as those before. */
        private boolean continuesWith(long pageRevision) {
            return lastPageRevision == 0 || StoreRevision.isSameEra(lastPageRevision, pageRevision);
        }
    }
}
