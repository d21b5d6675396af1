package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanplank.core.gateway.CatchUpOrder;
import org.rattanplank.core.gateway.StoreWatchers;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.ReplicationPolicy;
import org.rattanplank.gateway.peer.StoreReceiver;
import org.rattanplank.gateway.peer.StoreReplicator;
import org.rattanplank.gateway.store.StoreFeed;
import org.rattanplank.gateway.store.StoreRevision;

/**
 * Decides whether this host watches the store, and to which hosts it replicates store changes.
 *
 * <p>Invariant: a host that doesn't watch the store, or is rejected by it, replicates only to hosts without a
 * configuration. Confined to the event loop.
 */
final class RegionReplication implements ReplicationPolicy {
    /** How often the hosts that watch the store are selected. */
    private static final long WATCHER_SELECTION_INTERVAL_MILLIS = 250;

    /**
     * The time that a change takes to reach the other hosts; a host that lacks a newer change for less time isn't
     * behind.
     */
    private static final long PROPAGATION_MILLIS = 700;

    /** A host's report of its revision may be in transit for up to twice its report interval. */
    private static final int REPORT_PERIODS = 2;

    /** The time between the turns of two catch-up senders, in which the receiver reports that it has caught up. */
    private static final long CATCH_UP_TURN_MILLIS = 600;

    /** A change reaches a host that is in touch sooner than this. */
    private static final long LOGGED_LAG_MILLIS = 2_000;

    private final GatewayState state;
    private final StoreFeed feed;
    private final StoreReplicator replicator;
    private final long linkBytesPerMilli;
    private StoreWatchers watchers = StoreWatchers.of(List.of());
    private long watchersChecksum = Long.MIN_VALUE;
    private long watchersUpdatedAtMillis;
    private boolean lagLogged;

    RegionReplication(GatewayState state, StoreFeed feed, long linkBytesPerMilli) {
        this.state = state;
        this.feed = feed;
        this.linkBytesPerMilli = linkBytesPerMilli;
        replicator = new StoreReplicator(
                feed.copy(), linkBytesPerMilli, state.pool()::removalGraceMillis, state.log()::writeOrdinary);
    }

    void tick(List<PeerLink> alive, long nowMillis) {
        if (nowMillis - watchersUpdatedAtMillis >= WATCHER_SELECTION_INTERVAL_MILLIS) {
            watchersUpdatedAtMillis = nowMillis;
            updateWatchers(alive);
            feed.setWatching(shouldWatch(alive));
        }
        feed.tick();
        replicator.tick(alive, this, nowMillis);
        logLag();
    }

    private void logLag() {
        long lagMillis = feed.lagMillis();
        if (lagMillis >= LOGGED_LAG_MILLIS && !lagLogged) {
            state.log()
                    .writeImportant(LogLine.of(LogEvent.STORE_BEHIND)
                            .with("lagMillis", lagMillis)
                            .with(
                                    "copyRevision",
                                    StoreRevision.number(feed.copy().revision()))
                            .with("newestRevision", StoreRevision.number(feed.newestReportedRevision()))
                            .with("watching", feed.isWatching()));
        }
        lagLogged = lagMillis >= LOGGED_LAG_MILLIS;
    }

    void disconnected(PeerLink link) {
        replicator.disconnected(link);
    }

    /** Returns whether this host watches the store: it is selected as a watcher, or no other host watches. */
    private boolean shouldWatch(List<PeerLink> alive) {
        if (!feed.isComplete() || watchers.isWatcher(state.self().name())) {
            return true;
        }
        for (PeerLink link : alive) {
            if (link.isInOwnRegion()
                    && link.state().watchesStore()
                    && link.state().storeHealthy()
                    && tellsEras(link.state())) {
                return false;
            }
        }
        return feed.isHealthy();
    }

    /** A host of an earlier version doesn't notice that the store has come back from an older copy. */
    private boolean tellsEras(PeerFrame.State peer) {
        return peer.supportsStoreEras() || feed.copy().era() == 0;
    }

    /**
     * Selects the watchers again if a host of this region was added, removed or has changed, which a checksum over the
     * hosts detects.
     */
    private void updateWatchers(List<PeerLink> alive) {
        long checksum = feed.isHealthy() ? 1 : 0;
        for (PeerLink link : alive) {
            if (link.isInOwnRegion()) {
                PeerFrame.State peer = link.state();
                long candidate = 2 * peer.linkBytesPerMilli() + (peer.storeHealthy() ? 1 : 0);
                checksum +=
                        RendezvousHashing.mix(RendezvousHashing.mix(link.name().hashCode()) ^ candidate);
            }
        }
        if (checksum != watchersChecksum) {
            watchersChecksum = checksum;
            watchers = chooseWatchers(alive);
        }
    }

    private StoreWatchers chooseWatchers(List<PeerLink> alive) {
        List<StoreWatchers.Candidate> candidates = new ArrayList<>();
        candidates.add(new StoreWatchers.Candidate(state.self().name(), feed.isHealthy(), linkBytesPerMilli));
        for (PeerLink link : alive) {
            if (link.isInOwnRegion()) {
                PeerFrame.State peer = link.state();
                candidates.add(new StoreWatchers.Candidate(link.name(), peer.storeHealthy(), peer.linkBytesPerMilli()));
            }
        }
        return StoreWatchers.of(candidates);
    }

    @Override
    public boolean relaysTo(StoreReceiver receiver) {
        PeerFrame.State peer = receiver.state();
        return isHealthyWatcher()
                && needsRelay(peer)
                && peer.knownRevision() != PeerFrame.State.UNREPORTED
                && watchers.relayFor(receiver.name()).contains(state.self().name());
    }

    @Override
    public long catchUpAfterMillis(StoreReceiver receiver) {
        PeerFrame.State peer = receiver.state();
        if (!needsRelay(peer)) {
            return NEVER;
        }
        if (hasNoConfiguration(peer)) {
            // A host that starts while the store is unavailable would otherwise serve no requests until it is back. The
            // last known state of other hosts is better, and its own attempts correct it.
            return PROPAGATION_MILLIS
                    + CatchUpOrder.delayMillis(
                            state.regionView().hosts(), state.self().name(), receiver.name());
        }
        if (!isHealthyWatcher() || !isBehind(receiver)) {
            return NEVER;
        }
        long delayMillis = Math.max(PROPAGATION_MILLIS, REPORT_PERIODS * peer.periodMillis());
        return delayMillis
                + CATCH_UP_TURN_MILLIS * watchers.position(state.self().name());
    }

    private boolean isHealthyWatcher() {
        return feed.isWatching() && feed.isHealthy();
    }

    private static boolean needsRelay(PeerFrame.State peer) {
        return !peer.watchesStore() || !peer.storeHealthy();
    }

    private static boolean hasNoConfiguration(PeerFrame.State peer) {
        return peer.configurationVersion() == 0;
    }

    private boolean isBehind(StoreReceiver receiver) {
        PeerFrame.State peer = receiver.state();
        if (!receiver.isInOwnRegion()) {
            // Hosts of another region update each other while the store answers some of them.
            return !peer.storeHealthy() && peer.configurationVersion() < state.configurationVersion();
        }
        return peer.knownRevision() != PeerFrame.State.UNREPORTED
                || peer.newestRevisionIn(feed.copy().era()) < feed.copy().newestRevision();
    }
}
