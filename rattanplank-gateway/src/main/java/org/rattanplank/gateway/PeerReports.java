package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.Choice;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.LatencyModel;
import org.rattanplank.core.gateway.SentWork;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.store.StoreFeed;

/**
 * What hosts tell each other of their work and of the store.
 *
 * <p>Invariant: what another host said of its work counts only while it is in touch. Confined to the event loop.
 */
final class PeerReports {
    /** Hosts of one region share targets, and learn of each other's sends this fast; bytes inside a region are free. */
    private static final long OWN_REGION_MILLIS = 100;

    /** Bytes between regions are dear; a region's load lasts longer than one request. */
    private static final long OTHER_REGION_MILLIS = 400;

    /** A state is sent so often also if nothing changed, as a sign of life. */
    private static final long SIGN_OF_LIFE_MILLIS = 500;

    /** A host without the store is told again after so long. */
    private static final long ITEMS_MILLIS = 1_000;

    private final GatewayState state;
    private final PeerLinks links;
    private final StoreFeed feed;
    private final BooleanSupplier takesCallers;
    private final Map<PeerLink, Told> told = new HashMap<>();
    private final Map<String, Set<String>> targetsByHost = new HashMap<>();

    PeerReports(GatewayState state, PeerLinks links, StoreFeed feed, BooleanSupplier takesCallers) {
        this.state = state;
        this.links = links;
        this.feed = feed;
        this.takesCallers = takesCallers;
    }

    void tick(long nowMillis) {
        for (PeerLink link : links.alive()) {
            Told last = told.computeIfAbsent(link, each -> new Told());
            long every = isOwnRegion(link) ? OWN_REGION_MILLIS : OTHER_REGION_MILLIS;
            long age = nowMillis - last.atMillis;
            if (age >= SIGN_OF_LIFE_MILLIS
                    || age >= every && isOwnRegion(link) && !sent().equals(last.sent)
                    || age >= every && !isOwnRegion(link)) {
                tell(link);
            }
            helpWithStore(link, nowMillis);
        }
    }

    void tellAll() {
        links.alive().forEach(this::tell);
    }

    void tell(PeerLink link) {
        Told last = told.computeIfAbsent(link, each -> new Told());
        last.atMillis = state.nowMillis();
        boolean ownRegion = isOwnRegion(link);
        last.sent = ownRegion ? sent() : List.of();
        link.send(new PeerFrame.State(
                last.atMillis,
                link.state().sentAtMillis(),
                link.stateAgeMillis(),
                takesCallers.getAsBoolean(),
                state.configurationVersion(),
                feed.revision(),
                feed.isHealthy(),
                last.sent,
                ownRegion ? List.of() : regionLoads()));
    }

    void said(PeerLink link, PeerFrame.State said) {
        GatewayHost host = link.host().get();
        if (isOwnRegion(link)) {
            takeSent(host.name(), said.sent());
            return;
        }
        for (PeerFrame.RegionLoad load : said.regionLoads()) {
            state.regionLoads()
                    .reported(
                            host.place().region(),
                            load.service(),
                            load.urgency(),
                            load.expectedMillis(),
                            load.perTokenMillis(),
                            state.nowMillis());
        }
    }

    void lost(PeerLink link) {
        told.remove(link);
        link.host().forEach(host -> takeSent(host.name(), List.of()));
    }

    private void takeSent(String host, List<PeerFrame.TargetWork> sent) {
        Set<String> before = targetsByHost.getOrDefault(host, Set.of());
        Set<String> now = new HashSet<>();
        for (PeerFrame.TargetWork each : sent) {
            now.add(each.target());
            state.pool().find(each.target()).forEach(target -> target.sentByOther(host, each.work()));
        }
        for (String id : before) {
            if (!now.contains(id)) {
                state.pool().find(id).forEach(target -> target.sentByOther(host, SentWork.NONE));
            }
        }
        targetsByHost.put(host, now);
    }

    /** Tells a host that the store turns away what this one knows, so that it doesn't act on what no longer holds. */
    private void helpWithStore(PeerLink link, long nowMillis) {
        PeerFrame.State peer = link.state();
        boolean behind = peer.storeRevision() < feed.revision() || peer.configurationVersion() == 0;
        if (!peer.storeHealthy()
                && behind
                && nowMillis - link.itemsSentAtMillis() > ITEMS_MILLIS
                && (isOwnRegion(link) || peer.configurationVersion() < state.configurationVersion())) {
            link.send(new PeerFrame.StoreItems(feed.revision(), List.copyOf(feed.items())));
        }
    }

    private boolean isOwnRegion(PeerLink link) {
        return link.host()
                .exists(host ->
                        host.place().region().equals(state.self().place().region()));
    }

    private List<PeerFrame.TargetWork> sent() {
        List<PeerFrame.TargetWork> sent = new ArrayList<>();
        for (GatewayTarget target : state.pool().all()) {
            if (target.own().requests() > 0) {
                sent.add(new PeerFrame.TargetWork(target.id(), target.own()));
            }
        }
        return sent;
    }

    private List<PeerFrame.RegionLoad> regionLoads() {
        Set<String> services = new HashSet<>();
        state.pool().all().forEach(target -> services.add(target.entry().service()));
        List<PeerFrame.RegionLoad> loads = new ArrayList<>();
        for (String name : services) {
            Option<ServiceRule> rule = state.configuration().flatMap(now -> now.service(name));
            for (Urgency urgency : Urgency.values()) {
                rule.flatMap(service -> load(service, urgency)).forEach(loads::add);
            }
        }
        return loads;
    }

    private Option<PeerFrame.RegionLoad> load(ServiceRule service, Urgency urgency) {
        Option<Choice> best = state.chooser()
                .choose(service, Work.PLAIN.with(urgency), Set.of(), state.regionHosts(), state.nowMillis());
        LatencyModel model = state.chooser().model(service.name());
        return best.map(choice -> new PeerFrame.RegionLoad(
                service.name(),
                urgency,
                choice.expectedMillis(),
                model.perUnitMillis(service.isModel(), urgency, choice.target().slots()) / choice.candidates()));
    }

    private static final class Told {
        private long atMillis;
        private List<PeerFrame.TargetWork> sent = List.of();
    }
}
