package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.List;

import org.rattanplank.core.gateway.HelpOrder;
import org.rattanplank.core.gateway.StoreFollowers;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.ReplicationPolicy;
import org.rattanplank.gateway.peer.StoreReceiver;
import org.rattanplank.gateway.peer.StoreReplicator;
import org.rattanplank.gateway.store.StoreFeed;

/**
 * Decides whether this host follows the store, and to which hosts it replicates what it learns.
 *
 * <p>Invariant: a host that doesn't follow the store, or is turned away by it, replicates only to hosts that know nothing.
 * Confined to the event loop.
 */
final class RegionReplication implements ReplicationPolicy {
    /** How often the hosts that ask the store are chosen anew. */
    private static final long CHOOSE_MILLIS = 250;

    /** Changes are on their way for a moment before another host knows the same. */
    private static final long LACKS_MILLIS = 700;

    /** A host's word of what it knows may be on its way for twice the longest time between two such words. */
    private static final int PERIODS = 2;

    /** A host that could help gives the one before it so long, in which the other host says that it was helped. */
    private static final long TURN_MILLIS = 600;

    private final GatewayState state;
    private final StoreFeed feed;
    private final StoreReplicator replicator;
    private final long linkBytesPerMilli;
    private StoreFollowers followers = StoreFollowers.of(List.of());
    private long followersSum = Long.MIN_VALUE;
    private long followChosenAtMillis;

    RegionReplication(GatewayState state, StoreFeed feed, long linkBytesPerMilli) {
        this.state = state;
        this.feed = feed;
        this.linkBytesPerMilli = linkBytesPerMilli;
        replicator =
                new StoreReplicator(feed.copy(), linkBytesPerMilli, state.pool()::lenientMillis, state.log()::ordinary);
    }

    void tick(List<PeerLink> alive, long nowMillis) {
        if (nowMillis - followChosenAtMillis >= CHOOSE_MILLIS) {
            followChosenAtMillis = nowMillis;
            chooseFollowers(alive);
            feed.follow(shouldFollow(alive));
        }
        replicator.tick(alive, this, nowMillis);
    }

    void lost(PeerLink link) {
        replicator.lost(link);
    }

    /** Whether this host asks the store itself: it is ranked among the followers, or nobody else follows. */
    private boolean shouldFollow(List<PeerLink> alive) {
        if (!feed.isComplete() || followers.follows(state.self().name())) {
            return true;
        }
        for (PeerLink link : alive) {
            if (link.isOwnRegion()
                    && link.state().followsStore()
                    && link.state().storeHealthy()) {
                return false;
            }
        }
        return feed.isHealthy();
    }

    /** Ranks the hosts of this region anew if one of them has come, gone or changed; a sum over them tells. */
    private void chooseFollowers(List<PeerLink> alive) {
        long sum = feed.isHealthy() ? 1 : 0;
        for (PeerLink link : alive) {
            if (link.isOwnRegion()) {
                PeerFrame.State said = link.state();
                long candidate = 2 * said.linkBytesPerMilli() + (said.storeHealthy() ? 1 : 0);
                sum += Rendezvous.mix(Rendezvous.mix(link.name().hashCode()) ^ candidate);
            }
        }
        if (sum != followersSum) {
            followersSum = sum;
            followers = followers(alive);
        }
    }

    private StoreFollowers followers(List<PeerLink> alive) {
        List<StoreFollowers.Candidate> candidates = new ArrayList<>();
        candidates.add(new StoreFollowers.Candidate(state.self().name(), feed.isHealthy(), linkBytesPerMilli));
        for (PeerLink link : alive) {
            if (link.isOwnRegion()) {
                PeerFrame.State said = link.state();
                candidates.add(
                        new StoreFollowers.Candidate(link.name(), said.storeHealthy(), said.linkBytesPerMilli()));
            }
        }
        return StoreFollowers.of(candidates);
    }

    @Override
    public boolean relaysTo(StoreReceiver receiver) {
        PeerFrame.State peer = receiver.state();
        return isHealthyFollower()
                && needsRelay(peer)
                && peer.knownRevision() != PeerFrame.State.UNTOLD
                && followers.relayFor(receiver.name()).contains(state.self().name());
    }

    @Override
    public long catchUpAfterMillis(StoreReceiver receiver) {
        PeerFrame.State peer = receiver.state();
        if (!needsRelay(peer)) {
            return NEVER;
        }
        if (isUninformed(peer)) {
            // A host that starts while the store is away would serve nobody until it is back: what others knew last is
            // better, and is judged by own attempts.
            return LACKS_MILLIS
                    + HelpOrder.waitMillis(
                            state.regionView().hosts(), state.self().name(), receiver.name());
        }
        if (!isHealthyFollower() || !lacks(receiver)) {
            return NEVER;
        }
        long wait = Math.max(LACKS_MILLIS, PERIODS * peer.periodMillis());
        return wait + TURN_MILLIS * followers.turn(state.self().name());
    }

    private boolean isHealthyFollower() {
        return feed.isFollowing() && feed.isHealthy();
    }

    private static boolean needsRelay(PeerFrame.State peer) {
        return !peer.followsStore() || !peer.storeHealthy();
    }

    private static boolean isUninformed(PeerFrame.State peer) {
        return peer.configurationVersion() == 0;
    }

    private boolean lacks(StoreReceiver receiver) {
        PeerFrame.State peer = receiver.state();
        if (!receiver.isOwnRegion()) {
            // Hosts of another region learn from each other while the store answers some of them.
            return !peer.storeHealthy() && peer.configurationVersion() < state.configurationVersion();
        }
        return peer.knownRevision() != PeerFrame.State.UNTOLD
                || peer.newestRevision() < feed.copy().newestRevision();
    }
}
