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
import org.rattanplank.core.gateway.LinkShare;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;

/**
 * Replicates the store's items to other hosts.
 *
 * <p>A host is sent the newest change of each key since the revision up to which it knows everything. Small items go first,
 * in a frame of their own; larger ones go in parts, between which other frames may be sent.
 * Invariants: of this host's link, relayed changes take {@link #RELAY_SHARE} and catching up takes {@link #CATCH_UP_SHARE} at
 * most, whatever the number of hosts, the size of an item and the rate of changes; nothing is queued for a host that has not
 * taken what was sent before. Confined to the event loop.
 */
public final class StoreReplicator {
    /** The part of this host's link for changes that it relays; what is left is for callers. */
    static final double RELAY_SHARE = 0.4;

    /** The part of this host's link for hosts that have fallen behind. */
    static final double CATCH_UP_SHARE = 0.1;

    /** An item of at most so many bytes doesn't wait behind a large one. */
    static final int SMALL_BYTES = 4 << 10;

    private static final Comparator<ReceiverProgress> UNDER_WAY_FIRST = Comparator.comparing(
                    (ReceiverProgress host) -> host.transfer().isEmpty())
            .thenComparing(ReceiverProgress::sentAtMillis);

    private final StoreCopy copy;
    private final LongUnaryOperator lenientMillis;
    private final Consumer<LogLine> log;
    private final LinkShare relayShare;
    private final LinkShare catchUpShare;
    private final Map<StoreReceiver, ReceiverProgress> hosts = new HashMap<>();
    private Option<Written> written = Option.none();

    /**
     * Makes a replicator that has sent nothing.
     *
     * @param copy what this host knows
     * @param linkBytesPerMilli what its link takes
     * @param lenientMillis for how long, from a time on, removed entries may come back, as the store was away
     * @param log takes a line for each large transfer
     */
    public StoreReplicator(
            StoreCopy copy, long linkBytesPerMilli, LongUnaryOperator lenientMillis, Consumer<LogLine> log) {
        this.copy = copy;
        this.lenientMillis = lenientMillis;
        this.log = log;
        relayShare = LinkShare.of(linkBytesPerMilli, RELAY_SHARE);
        catchUpShare = LinkShare.of(linkBytesPerMilli, CATCH_UP_SHARE);
    }

    /**
     * Forgets a host that is out of touch.
     *
     * @param receiver the host
     */
    public void lost(StoreReceiver receiver) {
        hosts.remove(receiver);
    }

    /**
     * Sends what may go.
     *
     * @param receivers the hosts in touch
     * @param policy which of them this host replicates to
     * @param nowMillis the time
     */
    public void tick(Collection<? extends StoreReceiver> receivers, ReplicationPolicy policy, long nowMillis) {
        if (copy.revision() == 0) {
            return;
        }
        List<ReceiverProgress> pending = new ArrayList<>();
        for (StoreReceiver receiver : receivers) {
            ReceiverProgress host = hosts.computeIfAbsent(receiver, each -> new ReceiverProgress(each, nowMillis));
            host.update(copy.revision(), nowMillis);
            boolean lacks = host.sentRevision() < copy.revision();
            if (lacks && host.hasReported() && policy.relaysTo(receiver)) {
                sendSmall(host, nowMillis);
            }
            if (lacks || host.transfer().isDefined() || host.isBehindFor(0, nowMillis)) {
                pending.add(host);
            }
        }
        pending.sort(UNDER_WAY_FIRST);
        for (ReceiverProgress host : pending) {
            if (host.transfer().isEmpty()) {
                begin(host, policy, nowMillis);
            }
            host.transfer().forEach(transfer -> sendParts(host, transfer, nowMillis));
        }
    }

    /** Sends all small changes at once; the host is up to date with them unless a large item has changed as well. */
    private void sendSmall(ReceiverProgress host, long nowMillis) {
        long revision = copy.revision();
        if (host.sentSmallRevision() >= revision
                || !relayShare.isAvailable(nowMillis)
                || host.receiver().waitingBytes() > 0) {
            return;
        }
        boolean whole = host.transfer().isEmpty()
                && host.sentRevision() > 0
                && changes(host.sentRevision()).stream().allMatch(StoreReplicator::isSmall);
        List<StoreItem> small = changes(host.sentSmallRevision()).stream()
                .filter(StoreReplicator::isSmall)
                .toList();
        if (!whole && small.isEmpty()) {
            return;
        }
        Written frame = write(host, whole ? host.sentRevision() : 0, host.sentSmallRevision(), whole, small, nowMillis);
        if (frame.bytes().length > StoreTransfer.PART_BYTES) {
            return;
        }
        host.receiver().send(frame.frame(), frame.bytes());
        relayShare.consume(frame.bytes().length, nowMillis);
        if (whole) {
            host.sentAll(revision, nowMillis);
        } else {
            host.sentSmall(revision, nowMillis);
        }
    }

    private void begin(ReceiverProgress host, ReplicationPolicy policy, long nowMillis) {
        if (!host.hasReported()) {
            return;
        }
        if (host.sentRevision() < copy.revision() && policy.relaysTo(host.receiver())) {
            if (relayShare.isAvailable(nowMillis)) {
                begin(host, relayShare, nowMillis);
            }
        } else if (catchUpShare.isAvailable(nowMillis)
                && host.isBehindFor(policy.catchUpAfterMillis(host.receiver()), nowMillis)) {
            host.rewindToReported();
            begin(host, catchUpShare, nowMillis);
        }
    }

    private void begin(ReceiverProgress host, LinkShare share, long nowMillis) {
        long base = host.sentRevision();
        List<StoreItem> items = new ArrayList<>();
        for (StoreItem item : base == 0 ? copy.items() : changes(base)) {
            if (base == 0 || !isSmall(item) || item.revision() > host.sentSmallRevision()) {
                items.add(item);
            }
        }
        Written frame = write(host, base, host.sentSmallRevision(), true, items, nowMillis);
        log.accept(LogLine.of(LogEvent.STORE_TOLD)
                .with("peer", host.receiver().name())
                .with("items", items.size())
                .with("bytes", frame.bytes().length)
                .with("baseRevision", base)
                .with("revision", copy.revision())
                .with("help", share == catchUpShare));
        if (frame.bytes().length <= StoreTransfer.PART_BYTES || !host.readsParts()) {
            host.receiver().send(frame.frame(), frame.bytes());
            share.consume(frame.bytes().length, nowMillis);
            host.sentAll(copy.revision(), nowMillis);
            return;
        }
        host.began(new StoreTransfer(frame.bytes(), share, copy.revision()), nowMillis);
    }

    private static void sendParts(ReceiverProgress host, StoreTransfer transfer, long nowMillis) {
        while (!transfer.isDone()
                && transfer.share().isAvailable(nowMillis)
                && host.receiver().waitingBytes() == 0) {
            PeerFrame.Part part = transfer.next();
            byte[] bytes = PeerFrameCodec.encode(part);
            host.receiver().send(part, bytes);
            transfer.share().consume(bytes.length, nowMillis);
        }
        if (transfer.isDone()) {
            host.sentAll(transfer.revision(), nowMillis);
        }
    }

    /** The changes since a revision, up to the one up to which everything is known. */
    private List<StoreItem> changes(long base) {
        List<StoreItem> changes = new ArrayList<>();
        for (StoreItem item : copy.changesSince(base)) {
            if (item.revision() <= copy.revision()) {
                changes.add(item);
            }
        }
        return changes;
    }

    private static boolean isSmall(StoreItem item) {
        return item.value().length <= SMALL_BYTES;
    }

    /** Encodes a frame, or reuses the last one if it is the same: most hosts lack the same changes. */
    private Written write(
            ReceiverProgress host, long base, long smallBase, boolean whole, List<StoreItem> items, long nowMillis) {
        Contents contents = new Contents(
                base, smallBase, whole, items.size(), copy.revision(), copy.newestRevision(), host.readsParts());
        if (written.isEmpty() || !written.get().contents().isSame(contents)) {
            PeerFrame.StoreItems frame = new PeerFrame.StoreItems(
                    base, whole ? copy.revision() : 0, lenientMillis.applyAsLong(nowMillis), items);
            byte[] bytes = PeerFrameCodec.encode(frame, host.readsPacked());
            written = Option.some(new Written(contents, frame, bytes));
        }
        return written.get();
    }

    private record Contents(
            long base,
            long smallBase,
            boolean whole,
            int items,
            long revision,
            long newestRevision,
            boolean readsParts) {
        /** Compares field by field: for equals of a record the run-time library makes code when it is first called. */
        private boolean isSame(Contents other) {
            return base == other.base
                    && smallBase == other.smallBase
                    && whole == other.whole
                    && items == other.items
                    && revision == other.revision
                    && newestRevision == other.newestRevision
                    && readsParts == other.readsParts;
        }
    }

    private record Written(Contents contents, PeerFrame.StoreItems frame, byte[] bytes) {}
}
