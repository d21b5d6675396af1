package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.vavr.control.Option;
import org.rattanplank.core.account.AccountDemand;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.InFlightWork;
import org.rattanplank.core.gateway.LatencyModel;
import org.rattanplank.core.gateway.Mechanism;
import org.rattanplank.core.gateway.RegionLoads;
import org.rattanplank.core.gateway.RegionStreamStats;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.StreamStats;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.DisconnectCause;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreFeed;

/**
 * Exchanges state reports with other hosts: load at targets, load of regions, and progress in the store.
 *
 * <p>Invariant: the work reported by another host counts only while it is connected. Confined to the event loop.
 */
final class PeerStateExchange {
    /**
     * The minimum interval between state reports inside a region. Its hosts share targets and need each other's sends
     * quickly; traffic inside a region is free.
     */
    private static final long MIN_OWN_REGION_INTERVAL_MILLIS = 100;

    /**
     * The minimum interval between state reports to other regions. Traffic between regions is expensive; the load of a
     * region changes more slowly than single requests.
     */
    private static final long MIN_OTHER_REGION_INTERVAL_MILLIS = 400;

    /** The interval between state reports without a change, which serve as heartbeats. */
    private static final long HEARTBEAT_MILLIS = 500;

    /** Interval between state reports inside a region, per link: reports to twenty hosts take 0.1 s of each second. */
    private static final long INTERVAL_PER_OWN_REGION_LINK_MILLIS = 12;

    /** The same for links to other regions, whose traffic is expensive: with sixty links the interval is one second. */
    private static final long INTERVAL_PER_OTHER_REGION_LINK_MILLIS = 16;

    /**
     * The minimum interval between two large prefill notices: with thirty hosts they take a tenth of a link of 10
     * Mbit/s.
     */
    private static final long MIN_LARGE_PREFILL_INTERVAL_MILLIS = 20;

    /**
     * The maximum age of this region's load when it is reported; a quarter of the minimum interval to other regions.
     */
    private static final long REGION_LOADS_CACHE_MILLIS = 100;

    private final GatewayState state;
    private final PeerLinks links;
    private final StoreFeed feed;
    private long largePrefillAtMillis = Long.MIN_VALUE / 2;
    private final RegionReplication replication;
    private final long linkBytesPerMilli;
    private final BooleanSupplier acceptsCallers;
    private final LongSupplier acceptMillis;
    private boolean reportedAcceptingWork;
    private long ownRegionIntervalMillis = MIN_OWN_REGION_INTERVAL_MILLIS;
    private long otherRegionIntervalMillis = MIN_OTHER_REGION_INTERVAL_MILLIS;
    private List<PeerFrame.RegionLoad> regionLoads = List.of();
    private final Set<String> knownServices = new HashSet<>();
    private long regionLoadsAtMillis = Long.MIN_VALUE / 2;
    private final Map<PeerLink, LastReport> lastReports = new HashMap<>();
    private final Map<String, Set<String>> targetsByHost = new HashMap<>();

    PeerStateExchange(
            GatewayState state,
            PeerLinks links,
            StoreFeed feed,
            long linkBytesPerMilli,
            BooleanSupplier acceptsCallers,
            LongSupplier acceptMillis) {
        this.state = state;
        this.links = links;
        this.feed = feed;
        this.linkBytesPerMilli = linkBytesPerMilli;
        replication = new RegionReplication(state, feed, linkBytesPerMilli);
        this.acceptsCallers = acceptsCallers;
        state.onLargePrefill(this::sendLargePrefillNotice);
        this.acceptMillis = acceptMillis;
    }

    void tick(long nowMillis) {
        if (acceptMillis.getAsLong() > 0 != reportedAcceptingWork) {
            // Other hosts keep sending requests, or none, according to the last report.
            reportedAcceptingWork = !reportedAcceptingWork;
            sendStateToAll();
        }
        List<PeerLink> alive = links.aliveLinks();
        long ownRegionLinks = alive.stream().filter(PeerLink::isInOwnRegion).count();
        ownRegionIntervalMillis =
                Math.max(MIN_OWN_REGION_INTERVAL_MILLIS, INTERVAL_PER_OWN_REGION_LINK_MILLIS * ownRegionLinks);
        otherRegionIntervalMillis = Math.max(
                MIN_OTHER_REGION_INTERVAL_MILLIS,
                INTERVAL_PER_OTHER_REGION_LINK_MILLIS * (alive.size() - ownRegionLinks));
        List<PeerFrame.TargetWork> work = null;
        for (PeerLink link : alive) {
            LastReport lastReport = lastReports.computeIfAbsent(link, each -> new LastReport());
            long age = nowMillis - lastReport.atMillis;
            boolean ownRegion = link.isInOwnRegion();
            if (ownRegion && age >= ownRegionIntervalMillis) {
                work = work == null ? ownWork() : work;
                if (age >= periodMillis(true) || !isSameWork(work, lastReport.work)) {
                    sendState(link, work);
                }
            } else if (!ownRegion && age >= periodMillis(false)) {
                sendState(link, List.of());
            }
        }
        replication.tick(alive, nowMillis);
    }

    private long periodMillis(boolean ownRegion) {
        return ownRegion ? Math.max(HEARTBEAT_MILLIS, ownRegionIntervalMillis) : otherRegionIntervalMillis;
    }

    void sendStateToAll() {
        links.aliveLinks().forEach(this::sendState);
    }

    void sendState(PeerLink link) {
        sendState(link, link.isInOwnRegion() ? ownWork() : List.of());
    }

    private void sendState(PeerLink link, List<PeerFrame.TargetWork> work) {
        LastReport lastReport = lastReports.computeIfAbsent(link, each -> new LastReport());
        lastReport.atMillis = state.nowMillis();
        lastReport.work = work;
        boolean ownRegion = link.isInOwnRegion();
        List<AccountDemand> demand = ownRegion ? List.of() : state.allowances().regionDemand(lastReport.atMillis);
        if (!ownRegion) {
            state.allowances().demandSent(region(link), link.name(), demand, lastReport.atMillis);
        }
        link.send(new PeerFrame.State(
                lastReport.atMillis,
                link.state().sentAtMillis(),
                link.stateAgeMillis(),
                periodMillis(ownRegion),
                acceptsCallers.getAsBoolean(),
                state.configurationVersion(),
                feed.copy().digest(),
                feed.isWatching(),
                feed.isHealthy(),
                work,
                ownRegion ? List.of() : regionLoads(),
                Math.max(PeerFrame.State.EMPTY_REVISION, feed.copy().newestRevision()),
                acceptMillis.getAsLong(),
                feed.copy().revision(),
                linkBytesPerMilli,
                true,
                true,
                true,
                true,
                true,
                ownRegion ? state.allowances().usage(lastReport.atMillis) : List.of(),
                demand));
    }

    /**
     * Notifies the hosts of this region of a prompt with a long prefill. Until the next state report they would take
     * the engine for idle, and the interval of reports grows with the number of hosts: long prompts would queue at one
     * engine while others are idle.
     */
    private void sendLargePrefillNotice(GatewayTarget target) {
        long now = state.nowMillis();
        if (now - largePrefillAtMillis < MIN_LARGE_PREFILL_INTERVAL_MILLIS) {
            return;
        }
        largePrefillAtMillis = now;
        PeerFrame.LargePrefillNotice notice = new PeerFrame.LargePrefillNotice(work(target, now));
        byte[] bytes = PeerLink.encode(notice);
        for (PeerLink link : links.aliveLinks()) {
            if (link.isInOwnRegion() && link.state().supportsLargePrefillNotices() && link.pendingBytes() == 0) {
                link.send(notice, bytes);
            }
        }
    }

    void receiveLargePrefillNotice(PeerLink link, PeerFrame.TargetWork work) {
        if (!link.isInOwnRegion() || !state.uses(Mechanism.OTHERS_WORK)) {
            return;
        }
        String host = link.host().get().name();
        targetsByHost.computeIfAbsent(host, each -> new HashSet<>()).add(work.target());
        updateTargetWork(host, work);
    }

    void receiveState(PeerLink link, PeerFrame.State received) {
        GatewayHost host = link.host().get();
        receiveAccounts(link, received);
        state.metrics().record(Latency.PEER_ROUND_TRIP, link.roundTripMillis());
        feed.peerRevisionReported(received.knownRevision());
        verifyCopy(link);
        if (link.isInOwnRegion() && !state.uses(Mechanism.OTHERS_WORK)) {
            return;
        }
        if (link.isInOwnRegion()) {
            updateWorkOfHost(host.name(), received.targetWork());
            return;
        }
        String region = host.location().region();
        long untilMillis = state.nowMillis() + RegionLoads.REPORT_TIMEOUT_MILLIS + received.periodMillis();
        for (PeerFrame.RegionLoad load : received.regionLoads()) {
            RegionLoads loads = state.regionLoads();
            loads.update(
                    region, load.service(), load.urgency(), load.expectedMillis(), load.perTokenMillis(), untilMillis);
            loads.update(region, load.service(), load.streams());
        }
    }

    private void receiveAccounts(PeerLink link, PeerFrame.State received) {
        if (link.isInOwnRegion()) {
            state.allowances()
                    .usageReceived(link.name(), received.accountUsage(), received.periodMillis(), state.nowMillis());
        } else {
            state.allowances()
                    .demandReceived(region(link), link.name(), received.accountDemand(), received.echoedMillis());
        }
    }

    private static String region(PeerLink link) {
        return link.host().get().location().region();
    }

    void storeItemsReceived(PeerLink link, StoreContents contents) {
        feed.mergeFromPeer(link.name(), contents);
        verifyCopy(link);
    }

    /**
     * Compares the local copy of the store with that of a host that watches the store. It reports its state just before it
     * relays the changes up to the same revision, so that this is done about twice a second also while the store changes.
     */
    private void verifyCopy(PeerLink link) {
        PeerFrame.State peer = link.state();
        if (link.isInOwnRegion()
                && peer.watchesStore()
                && peer.storeHealthy()
                && peer.newestRevision() == peer.knownRevision()) {
            feed.verify(link.name(), peer.knownRevision(), peer.storeDigest());
        }
    }

    void disconnected(PeerLink link, DisconnectCause cause) {
        if (link.isInOwnRegion()) {
            state.allowances().hostLost(link.name(), cause.mayBeAlive(), state.nowMillis());
        } else {
            state.allowances().regionLinkLost(region(link), link.name(), state.nowMillis());
        }
        lastReports.remove(link);
        replication.disconnected(link);
        link.host().forEach(host -> updateWorkOfHost(host.name(), List.of()));
    }

    private void updateWorkOfHost(String host, List<PeerFrame.TargetWork> work) {
        Set<String> previous = targetsByHost.getOrDefault(host, Set.of());
        Set<String> now = new HashSet<>();
        for (PeerFrame.TargetWork each : work) {
            now.add(each.target());
            updateTargetWork(host, each);
        }
        for (String id : previous) {
            if (!now.contains(id)) {
                state.pool()
                        .findIncarnation(id)
                        .forEach(target -> target.updateFromHost(host, InFlightWork.NONE, StreamStats.NONE));
            }
        }
        targetsByHost.put(host, now);
    }

    private void updateTargetWork(String host, PeerFrame.TargetWork work) {
        state.pool()
                .findIncarnation(work.target())
                .forEach(target -> target.updateFromHost(host, work.work(), work.streamStats()));
    }

    private static PeerFrame.TargetWork work(GatewayTarget target, long nowMillis) {
        return new PeerFrame.TargetWork(
                target.incarnationText(), target.ownWork(), target.streams().ownStats(nowMillis));
    }

    private List<PeerFrame.TargetWork> ownWork() {
        List<PeerFrame.TargetWork> work = new ArrayList<>();
        for (GatewayTarget target : state.pool().all()) {
            if (!target.ownWork().isNone()) {
                work.add(work(target, state.nowMillis()));
            }
        }
        return work;
    }

    /**
     * Returns whether the work at targets is unchanged. Changed work is always a new object. Comparing records by their
     * fields would make the runtime generate code for it during the start of a host, when time is short.
     */
    private static boolean isSameWork(List<PeerFrame.TargetWork> now, List<PeerFrame.TargetWork> previous) {
        if (now.size() != previous.size()) {
            return false;
        }
        for (int i = 0; i < now.size(); i++) {
            if (now.get(i).work() != previous.get(i).work()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the expected load of this region. It is cached for a short time, as it is reported over many links. */
    private List<PeerFrame.RegionLoad> regionLoads() {
        long now = state.nowMillis();
        if (now - regionLoadsAtMillis >= REGION_LOADS_CACHE_MILLIS) {
            regionLoadsAtMillis = now;
            regionLoads = computeRegionLoads();
        }
        return regionLoads;
    }

    private List<PeerFrame.RegionLoad> computeRegionLoads() {
        state.pool().all().forEach(target -> knownServices.add(target.entry().service()));
        Set<String> rateLimited = state.pool().rateLimited();
        List<PeerFrame.RegionLoad> loads = new ArrayList<>();
        for (String name : knownServices) {
            Option<ServiceRule> rule = state.configuration().flatMap(now -> now.service(name));
            rule.forEach(service -> addLoads(service, rateLimited, loads));
        }
        return loads;
    }

    private void addLoads(ServiceRule service, Set<String> excluded, List<PeerFrame.RegionLoad> loads) {
        RegionStreamStats streams = service.isModel()
                ? state.chooser().streamStats(service, state.regionView(), state.nowMillis())
                : RegionStreamStats.NONE;
        for (Urgency urgency : Urgency.values()) {
            loads.add(load(service, urgency, excluded, streams));
        }
    }

    private PeerFrame.RegionLoad load(
            ServiceRule service, Urgency urgency, Set<String> excluded, RegionStreamStats streams) {
        Option<TargetChoice> best = state.chooser()
                .choose(service, Work.PLAIN.withUrgency(urgency), excluded, state.regionView(), state.nowMillis());
        LatencyModel model = state.chooser().latencyModel(service.name());
        // A region without capacity reports it explicitly. Otherwise others would use its last report for seconds, send
        // requests there and get each back after two crossings. Symptom: requests that end in this region because no
        // target is available.
        return best.map(choice -> new PeerFrame.RegionLoad(
                        service.name(),
                        urgency,
                        choice.expectedMillis(),
                        model.millisPerWorkUnit(
                                        service.isModel(),
                                        urgency,
                                        choice.target().slots(),
                                        state.nowMillis())
                                / choice.candidates(),
                        streams))
                .getOrElse(() -> new PeerFrame.RegionLoad(service.name(), urgency, Double.POSITIVE_INFINITY, 0));
    }

    private static final class LastReport {
        private long atMillis;
        private List<PeerFrame.TargetWork> work = List.of();
    }
}
