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
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StoreKnowledge;

/**
 * Tells other hosts what this one knows of the store and they don't.
 *
 * <p>A host is told the newest change of each key since the revision up to which it knows everything. Small changes go
 * first, in a frame of their own; what is larger goes in parts, and other frames may go between two of them.
 * Invariants: of this host's link, changes take {@link #RELAY_SHARE} and help takes {@link #HELP_SHARE} at most, whatever
 * the number of hosts, the size of an item and the rate of changes; nothing is queued for a host that has not taken what
 * was sent before. Confined to the event loop.
 */
public final class StoreTelling {
    /** The part of this host's link that changes may take; the rest is for callers. */
    static final double RELAY_SHARE = 0.4;

    /** The part of this host's link that telling hosts what they lack may take. */
    static final double HELP_SHARE = 0.1;

    /** An item of at most so many bytes doesn't wait behind a large one. */
    static final int SMALL_BYTES = 4 << 10;

    private static final Comparator<ToldHost> UNDER_WAY_FIRST =
            Comparator.comparing((ToldHost host) -> host.transfer().isEmpty()).thenComparing(ToldHost::sentAtMillis);

    private final StoreKnowledge knowledge;
    private final LongUnaryOperator lenientMillis;
    private final Consumer<LogLine> log;
    private final LinkShare relaying;
    private final LinkShare helping;
    private final Map<StoreReceiver, ToldHost> hosts = new HashMap<>();
    private Option<Written> written = Option.none();

    /**
     * Makes one that has told nobody.
     *
     * @param knowledge what this host knows
     * @param linkBytesPerMilli what its link takes
     * @param lenientMillis for how long, from a time on, removed entries may come back, as the store was away
     * @param log takes lines on what was told
     */
    public StoreTelling(
            StoreKnowledge knowledge, long linkBytesPerMilli, LongUnaryOperator lenientMillis, Consumer<LogLine> log) {
        this.knowledge = knowledge;
        this.lenientMillis = lenientMillis;
        this.log = log;
        relaying = LinkShare.of(linkBytesPerMilli, RELAY_SHARE);
        helping = LinkShare.of(linkBytesPerMilli, HELP_SHARE);
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
     * @param duties which of them this host tells
     * @param nowMillis the time
     */
    public void tick(Collection<? extends StoreReceiver> receivers, StoreDuties duties, long nowMillis) {
        if (knowledge.revision() == 0) {
            return;
        }
        List<ToldHost> toTell = new ArrayList<>();
        for (StoreReceiver receiver : receivers) {
            ToldHost host = hosts.computeIfAbsent(receiver, each -> new ToldHost(each, nowMillis));
            host.heard(knowledge.revision(), nowMillis);
            boolean lacks = host.toldRevision() < knowledge.revision();
            if (lacks && host.isHeard() && duties.tells(receiver)) {
                tellSmall(host, nowMillis);
            }
            if (lacks || host.transfer().isDefined() || host.lacksFor(0, nowMillis)) {
                toTell.add(host);
            }
        }
        toTell.sort(UNDER_WAY_FIRST);
        for (ToldHost host : toTell) {
            if (host.transfer().isEmpty()) {
                begin(host, duties, nowMillis);
            }
            host.transfer().forEach(transfer -> go(host, transfer, nowMillis));
        }
    }

    /** Tells all small changes at once; with them the host knows everything, unless a large one changed as well. */
    private void tellSmall(ToldHost host, long nowMillis) {
        long revision = knowledge.revision();
        if (host.toldSmallRevision() >= revision
                || !relaying.isFree(nowMillis)
                || host.receiver().waitingBytes() > 0) {
            return;
        }
        boolean whole = host.transfer().isEmpty()
                && host.toldRevision() > 0
                && changes(host.toldRevision()).stream().allMatch(StoreTelling::isSmall);
        List<StoreItem> small = changes(host.toldSmallRevision()).stream()
                .filter(StoreTelling::isSmall)
                .toList();
        if (!whole && small.isEmpty()) {
            return;
        }
        Written frame = write(host, whole ? host.toldRevision() : 0, host.toldSmallRevision(), whole, small, nowMillis);
        if (frame.bytes().length > StoreTransfer.PART_BYTES) {
            return;
        }
        host.receiver().send(frame.frame(), frame.bytes());
        relaying.moved(frame.bytes().length, nowMillis);
        if (whole) {
            host.toldAll(revision, nowMillis);
        } else {
            host.toldSmall(revision, nowMillis);
        }
    }

    private void begin(ToldHost host, StoreDuties duties, long nowMillis) {
        if (!host.isHeard()) {
            return;
        }
        if (host.toldRevision() < knowledge.revision() && duties.tells(host.receiver())) {
            if (relaying.isFree(nowMillis)) {
                begin(host, relaying, nowMillis);
            }
        } else if (helping.isFree(nowMillis) && host.lacksFor(duties.helpAfterMillis(host.receiver()), nowMillis)) {
            host.believeOnlyWhatItSays();
            begin(host, helping, nowMillis);
        }
    }

    private void begin(ToldHost host, LinkShare share, long nowMillis) {
        long base = host.toldRevision();
        List<StoreItem> items = new ArrayList<>();
        for (StoreItem item : base == 0 ? knowledge.items() : changes(base)) {
            if (base == 0 || !isSmall(item) || item.revision() > host.toldSmallRevision()) {
                items.add(item);
            }
        }
        Written frame = write(host, base, host.toldSmallRevision(), true, items, nowMillis);
        log.accept(LogLine.of(LogEvent.STORE_TOLD)
                .with("peer", host.receiver().name())
                .with("items", items.size())
                .with("bytes", frame.bytes().length)
                .with("baseRevision", base)
                .with("revision", knowledge.revision())
                .with("help", share == helping));
        if (frame.bytes().length <= StoreTransfer.PART_BYTES || !host.readsParts()) {
            host.receiver().send(frame.frame(), frame.bytes());
            share.moved(frame.bytes().length, nowMillis);
            host.toldAll(knowledge.revision(), nowMillis);
            return;
        }
        host.began(new StoreTransfer(frame.bytes(), share, knowledge.revision()), nowMillis);
    }

    private static void go(ToldHost host, StoreTransfer transfer, long nowMillis) {
        while (!transfer.isDone()
                && transfer.share().isFree(nowMillis)
                && host.receiver().waitingBytes() == 0) {
            PeerFrame.Part part = transfer.next();
            byte[] bytes = PeerFrameCodec.encode(part);
            host.receiver().send(part, bytes);
            transfer.share().moved(bytes.length, nowMillis);
        }
        if (transfer.isDone()) {
            host.toldAll(transfer.revision(), nowMillis);
        }
    }

    /** The changes since a revision, up to the one up to which everything is known. */
    private List<StoreItem> changes(long base) {
        List<StoreItem> changes = new ArrayList<>();
        for (StoreItem item : knowledge.changesSince(base)) {
            if (item.revision() <= knowledge.revision()) {
                changes.add(item);
            }
        }
        return changes;
    }

    private static boolean isSmall(StoreItem item) {
        return item.value().length <= SMALL_BYTES;
    }

    /** Writes a frame, or takes the one before if it is the same: most hosts lack the same. */
    private Written write(
            ToldHost host, long base, long smallBase, boolean whole, List<StoreItem> items, long nowMillis) {
        Contents contents = new Contents(
                base,
                smallBase,
                whole,
                items.size(),
                knowledge.revision(),
                knowledge.newestRevision(),
                host.readsParts());
        if (written.isEmpty() || !written.get().contents().isSame(contents)) {
            PeerFrame.StoreItems frame = new PeerFrame.StoreItems(
                    base, whole ? knowledge.revision() : 0, lenientMillis.applyAsLong(nowMillis), items);
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
