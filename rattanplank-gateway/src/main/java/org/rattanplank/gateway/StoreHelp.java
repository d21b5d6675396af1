package org.rattanplank.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.HelpOrder;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.store.StoreFeed;

/**
 * Tells hosts that don't ask the store, or are turned away by it, what they lack.
 *
 * <p>The pattern it answers is a region of tens of hosts whose targets or configuration change all the time. Each host then
 * knows something else at any moment; told all of it each time, thirty hosts would fill the teller's link, behind which its
 * callers and its own calls to the store wait. It would stay behind itself, and go on telling. What it buys: at most a tenth
 * of a link of 10 Mbit/s, measured as bytes sent to 27 hosts that lack 100 KB (20.8 Mbit/s before).
 * Invariants: a host is told only by one that knows at least as much; no more than {@link #BYTES_PER_MILLI} is told on the
 * average, one telling ahead. Confined to the event loop.
 */
final class StoreHelp {
    /** A tenth of the link of the smallest hosts, which have 10 Mbit/s; the rest is for callers. */
    private static final double BYTES_PER_MILLI = 125;

    /** A host without the store is told again after so long. */
    private static final long ITEMS_MILLIS = 1_000;

    /** Changes are on their way for a moment before both hosts know the same. */
    private static final long LACKS_MILLIS = 700;

    /** How long a host's word of what it knows may be on its way: twice the longest time between two such words. */
    private static final int PERIODS = 2;

    private final GatewayState state;
    private final PeerLinks links;
    private final StoreFeed feed;
    private final EventLog log;
    private final Map<PeerLink, Long> lackedNothingAtMillis = new HashMap<>();
    private double freeAtMillis;

    StoreHelp(GatewayState state, PeerLinks links, StoreFeed feed) {
        this.state = state;
        this.links = links;
        this.feed = feed;
        log = state.log();
    }

    /** Tells the host that has waited longest, if there is one and the link bears it. */
    void tick(List<PeerLink> alive, long nowMillis) {
        long newestRevision = feed.newestRevision();
        alive.forEach(link -> noteLack(link, newestRevision, nowMillis));
        if (nowMillis < freeAtMillis || !feed.isComplete()) {
            return;
        }
        Option<PeerLink> next = Option.none();
        for (PeerLink link : alive) {
            if (mayTell(link, nowMillis) && next.forAll(other -> goesBefore(link, other))) {
                next = Option.some(link);
            }
        }
        next.forEach(link -> tell(link, nowMillis));
    }

    /** Forgets a host that is out of touch. */
    void lost(PeerLink link) {
        lackedNothingAtMillis.remove(link);
    }

    private void noteLack(PeerLink link, long newestRevision, long nowMillis) {
        if (lacks(link, newestRevision, nowMillis)) {
            lackedNothingAtMillis.putIfAbsent(link, nowMillis);
        } else {
            lackedNothingAtMillis.put(link, nowMillis);
        }
    }

    private boolean mayTell(PeerLink link, long nowMillis) {
        long lackedMillis = nowMillis - lackedNothingAtMillis.get(link);
        return needsHelp(link)
                && lackedMillis > waitMillis(link)
                && nowMillis - link.itemsSentAtMillis() > ITEMS_MILLIS;
    }

    private long waitMillis(PeerLink link) {
        if (!knowsNothing(link)) {
            return Math.max(LACKS_MILLIS, PERIODS * link.state().periodMillis());
        }
        return LACKS_MILLIS
                + HelpOrder.waitMillis(
                        state.regionView().hosts(),
                        state.self().name(),
                        link.host().get().name());
    }

    private static boolean knowsNothing(PeerLink link) {
        return link.state().configurationVersion() == 0;
    }

    private boolean needsHelp(PeerLink link) {
        PeerFrame.State peer = link.state();
        // A host that starts while the store is away knows nothing, and would serve nobody until it is back: what
        // others knew last is better, and is judged by own attempts. One would see a whole region without a host
        // that takes callers after a rolling restart during an outage.
        boolean mayHelp = feed.isFollowing() && feed.isHealthy() || knowsNothing(link);
        return mayHelp && (!peer.followsStore() || !peer.storeHealthy());
    }

    private boolean lacks(PeerLink link, long newestRevision, long nowMillis) {
        PeerFrame.State peer = link.state();
        if (!state.isOwnRegion(link)) {
            return peer.configurationVersion() < state.configurationVersion();
        }
        // One that knows more than this host is not helped by it: this host is behind itself.
        return peer.newestRevision() <= newestRevision && !feed.knewLately(peer.storeDigest(), nowMillis);
    }

    /** Hosts that know nothing serve nobody, so they go first. */
    private static boolean goesBefore(PeerLink link, PeerLink other) {
        return knowsNothing(link) == knowsNothing(other)
                ? link.itemsSentAtMillis() < other.itemsSentAtMillis()
                : knowsNothing(link);
    }

    private void tell(PeerLink link, long nowMillis) {
        long lenientMillis = state.pool().lenientMillis(nowMillis);
        int bytes = link.send(new PeerFrame.StoreItems(feed.revision(), lenientMillis, List.copyOf(feed.items())));
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + bytes / BYTES_PER_MILLI;
        log.ordinary(LogLine.of(LogEvent.STORE_TOLD)
                .with("peer", link.host().get().name())
                .with("items", feed.items().size())
                .with("bytes", bytes)
                .with("revision", feed.revision())
                .with("waitingBytes", links.waitingBytes()));
    }
}
