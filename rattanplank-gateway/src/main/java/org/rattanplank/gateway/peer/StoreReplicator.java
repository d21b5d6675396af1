package org.rattanplank.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.LinkRateLimiter;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StoreRevision;

/**
 * Replicates the store's items to other hosts.
 *
 * <p>A host is sent the newest change of each key since the revision up to which it is complete, with the keys of all
 * items if this host may not know all removals since. Small items go first, in a frame of their own; larger ones are sent
 * in fragments, between which other frames may be sent.
 * Invariants: relayed changes use at most {@link #RELAY_SHARE} of this host's link and catch-up at most
 * {@link #CATCH_UP_SHARE}, for any number of hosts, item size and rate of changes; nothing is queued for a host while
 * earlier bytes for it are still pending. Confined to the event loop.
 */
public final class StoreReplicator {
    /** The fraction of this host's link for relayed changes; what remains is for callers. */
    static final double RELAY_SHARE = 0.4;

    /** The fraction of this host's link for catch-up of hosts that have fallen behind. */
    static final double CATCH_UP_SHARE = 0.1;

    /** Items up to this size are sent separately, so that they don't queue behind large ones. */
    static final int SMALL_ITEM_MAX_BYTES = 4 << 10;

    private static final Comparator<ReceiverProgress> IN_PROGRESS_FIRST = Comparator.comparing(
                    (ReceiverProgress host) -> host.transfer().isEmpty())
            .thenComparing(ReceiverProgress::sentAtMillis);

    private final StoreCopy copy;
    private final LongUnaryOperator graceMillis;
    private final Consumer<LogLine> log;
    private final LinkRateLimiter relayLimiter;
    private final LinkRateLimiter catchUpLimiter;
    private final Map<StoreReceiver, ReceiverProgress> progressByReceiver = new HashMap<>();
    private Option<EncodedFrame> lastEncoded = Option.none();

    /**
     * Creates a replicator that has sent nothing.
     *
     * @param copy this host's local copy of the store
     * @param linkBytesPerMilli the bandwidth of this host's link, in bytes per millisecond
     * @param graceMillis returns, for a given time, how many milliseconds longer removed entries may be registered
     *     again after an outage of the store
     * @param log receives a line for each transfer
     */
    public StoreReplicator(
            StoreCopy copy, long linkBytesPerMilli, LongUnaryOperator graceMillis, Consumer<LogLine> log) {
        this.copy = copy;
        this.graceMillis = graceMillis;
        this.log = log;
        relayLimiter = LinkRateLimiter.of(linkBytesPerMilli, RELAY_SHARE);
        catchUpLimiter = LinkRateLimiter.of(linkBytesPerMilli, CATCH_UP_SHARE);
    }

    /**
     * Removes a host that is no longer connected.
     *
     * @param receiver the host
     */
    public void disconnected(StoreReceiver receiver) {
        progressByReceiver.remove(receiver);
    }

    /**
     * Sends the changes that the link shares allow.
     *
     * @param receivers the connected hosts
     * @param policy which of them this host replicates to
     * @param nowMillis the current time
     */
    public void tick(Collection<? extends StoreReceiver> receivers, ReplicationPolicy policy, long nowMillis) {
        if (copy.revision() == 0) {
            return;
        }
        List<ReceiverProgress> pending = new ArrayList<>();
        for (StoreReceiver receiver : receivers) {
            ReceiverProgress host =
                    progressByReceiver.computeIfAbsent(receiver, each -> new ReceiverProgress(each, nowMillis));
            host.update(copy.revision(), nowMillis);
            boolean isMissingChanges = host.sentRevision() < copy.revision();
            if (isMissingChanges && host.hasReported() && policy.relaysTo(receiver)) {
                sendSmallItems(host, nowMillis);
            }
            if (isMissingChanges || host.transfer().isDefined() || host.isBehindFor(0, nowMillis)) {
                pending.add(host);
            }
        }
        pending.sort(IN_PROGRESS_FIRST);
        for (ReceiverProgress host : pending) {
            if (host.transfer().isEmpty()) {
                startTransfer(host, policy, nowMillis);
            }
            host.transfer().forEach(transfer -> sendFragments(host, transfer, nowMillis));
        }
    }

    /** Sends all small changes in one frame; it brings the host up to date unless a large item has changed as well. */
    private void sendSmallItems(ReceiverProgress host, long nowMillis) {
        long revision = copy.revision();
        if (host.sentSmallItemsRevision() >= revision
                || !relayLimiter.isAvailable(nowMillis)
                || host.receiver().pendingBytes() > 0) {
            return;
        }
        long baseRevision = host.baseRevision(copy);
        boolean complete = host.transfer().isEmpty()
                && baseRevision > 0
                && copy.changesSince(host.sentRevision()).stream().allMatch(StoreReplicator::isSmall);
        List<StoreItem> small = copy.changesSince(host.sentSmallItemsRevision()).stream()
                .filter(StoreReplicator::isSmall)
                .toList();
        if (!complete && small.isEmpty()) {
            return;
        }
        EncodedFrame frame =
                encode(host, complete ? baseRevision : 0, host.sentSmallItemsRevision(), complete, small, nowMillis);
        if (frame.bytes().length > StoreTransfer.FRAGMENT_BYTES) {
            return;
        }
        host.receiver().send(frame.frame(), frame.bytes());
        relayLimiter.consume(frame.bytes().length, nowMillis);
        if (complete) {
            host.recordAllSent(revision, nowMillis);
        } else {
            host.recordSmallItemsSent(revision, nowMillis);
        }
    }

    private void startTransfer(ReceiverProgress host, ReplicationPolicy policy, long nowMillis) {
        if (!host.hasReported()) {
            return;
        }
        if (host.sentRevision() < copy.revision() && policy.relaysTo(host.receiver())) {
            if (relayLimiter.isAvailable(nowMillis)) {
                startTransfer(host, relayLimiter, nowMillis);
            }
        } else if (catchUpLimiter.isAvailable(nowMillis)
                && host.isBehindFor(policy.catchUpAfterMillis(host.receiver()), nowMillis)) {
            host.rewindToReported();
            startTransfer(host, catchUpLimiter, nowMillis);
        }
    }

    private void startTransfer(ReceiverProgress host, LinkRateLimiter limiter, long nowMillis) {
        long baseRevision = host.baseRevision(copy);
        List<StoreItem> items = new ArrayList<>();
        for (StoreItem item : baseRevision == 0 ? copy.itemsAndNewerRemovals() : copy.changesSince(baseRevision)) {
            if (baseRevision == 0 || !isSmall(item) || item.revision() > host.sentSmallItemsRevision()) {
                items.add(item);
            }
        }
        EncodedFrame frame = encode(host, baseRevision, host.sentSmallItemsRevision(), true, items, nowMillis);
        log.accept(LogLine.of(LogEvent.STORE_TOLD)
                .with("peer", host.receiver().name())
                .with("items", items.size())
                .with("bytes", frame.bytes().length)
                .with("baseRevision", StoreRevision.number(baseRevision))
                .with("revision", StoreRevision.number(copy.revision()))
                .with("help", limiter == catchUpLimiter));
        if (frame.bytes().length <= StoreTransfer.FRAGMENT_BYTES || !host.supportsFragments()) {
            host.receiver().send(frame.frame(), frame.bytes());
            limiter.consume(frame.bytes().length, nowMillis);
            host.recordAllSent(copy.revision(), nowMillis);
            return;
        }
        host.transferStarted(new StoreTransfer(frame.bytes(), limiter, copy.revision()), nowMillis);
    }

    private static void sendFragments(ReceiverProgress host, StoreTransfer transfer, long nowMillis) {
        while (!transfer.isDone()
                && transfer.share().isAvailable(nowMillis)
                && host.receiver().pendingBytes() == 0) {
            PeerFrame.Fragment fragment = transfer.nextFragment();
            byte[] bytes = PeerFrameCodec.encode(fragment);
            host.receiver().send(fragment, bytes);
            transfer.share().consume(bytes.length, nowMillis);
        }
        if (transfer.isDone()) {
            host.recordAllSent(transfer.revision(), nowMillis);
        }
    }

    private static boolean isSmall(StoreItem item) {
        return item.value().length <= SMALL_ITEM_MAX_BYTES;
    }

    /** Encodes a frame, or reuses the last one if it is the same, since most hosts are missing the same changes. */
    private EncodedFrame encode(
            ReceiverProgress host,
            long baseRevision,
            long smallItemsBaseRevision,
            boolean complete,
            List<StoreItem> items,
            long nowMillis) {
        boolean withKeys = complete && baseRevision > 0 && host.needsKeys(copy);
        long removalGraceMillis = graceMillis.applyAsLong(nowMillis);
        FrameKey key = new FrameKey(
                baseRevision,
                smallItemsBaseRevision,
                complete,
                withKeys,
                items.size(),
                copy.revision(),
                copy.newestRevision(),
                removalGraceMillis,
                host.supportsFragments(),
                host.supportsEras());
        if (lastEncoded.isEmpty() || !lastEncoded.get().key().matches(key)) {
            StoreContents contents =
                    complete ? copy.contents(baseRevision, items, withKeys) : StoreContents.some(items);
            PeerFrame.StoreItems frame = new PeerFrame.StoreItems(
                    host.supportsEras() ? contents : contents.withoutEras(), removalGraceMillis);
            byte[] bytes = PeerFrameCodec.encode(frame, host.supportsCompression());
            lastEncoded = Option.some(new EncodedFrame(key, frame, bytes));
        }
        return lastEncoded.get();
    }

    private record FrameKey(
            long baseRevision,
            long smallItemsBaseRevision,
            boolean complete,
            boolean withKeys,
            int itemCount,
            long revision,
            long newestRevision,
            long removalGraceMillis,
            boolean fragmented,
            boolean withEras) {
        /** Compares field by field, because the first call of a record's equals generates code at run time. */
        private boolean matches(FrameKey other) {
            return baseRevision == other.baseRevision
                    && smallItemsBaseRevision == other.smallItemsBaseRevision
                    && complete == other.complete
                    && withKeys == other.withKeys
                    && itemCount == other.itemCount
                    && revision == other.revision
                    && newestRevision == other.newestRevision
                    && removalGraceMillis == other.removalGraceMillis
                    && fragmented == other.fragmented
                    && withEras == other.withEras;
        }
    }

    private record EncodedFrame(FrameKey key, PeerFrame.StoreItems frame, byte[] bytes) {}
}
