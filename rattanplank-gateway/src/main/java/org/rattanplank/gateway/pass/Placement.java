package org.rattanplank.gateway.pass;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.Admission;
import org.rattanplank.core.gateway.Choice;
import org.rattanplank.core.gateway.Mechanism;
import org.rattanplank.core.gateway.RegionChooser;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.peer.PeerLink;

/**
 * Where a request could go at one moment: a target of the own region, or a host of each other region.
 *
 * <p>Invariants: regions that the route does not allow, or that were tried, are not among them; a region beyond its share
 * only if nothing else is. Confined to the event loop.
 */
final class Placement {
    private final GatewayState state;
    private final RouteRule route;
    private final ServiceRule service;
    private final Work work;
    private final Option<Choice> local;
    private final double localMillis;
    private final Map<String, PeerLink> hosts;
    private final Map<String, Double> remoteMillis = new HashMap<>();

    private Placement(GatewayState state, RouteRule route, ServiceRule service, Work work, Set<String> tried) {
        this.state = state;
        this.route = route;
        this.service = service;
        this.work = work;
        String ownRegion = state.self().place().region();
        local = route.allows(ownRegion)
                ? state.chooser().choose(service, work, tried, state.regionView(), state.nowMillis())
                : Option.none();
        localMillis = state.isWithinShare(ownRegion)
                ? local.map(Choice::expectedMillis).getOrElse(Double.POSITIVE_INFINITY)
                : Double.POSITIVE_INFINITY;
        hosts = state.uses(Mechanism.FORWARD) ? state.remoteHosts(route) : Map.of();
        hosts.forEach((region, link) -> {
            if (!tried.contains(region) && state.isWithinShare(region)) {
                remoteMillis.put(region, expectedMillis(region, link, units(work)));
            }
        });
    }

    static Placement of(GatewayState state, RouteRule route, ServiceRule service, Work work, Set<String> tried) {
        return new Placement(state, route, service, work, tried);
    }

    /** The units in which regions are told how much a request adds. */
    static int units(Work work) {
        return Math.max(1, work.promptTokens());
    }

    Option<Choice> local() {
        return local;
    }

    double localMillis() {
        return localMillis;
    }

    /** Whether anything could answer. */
    boolean isPossible() {
        return local.isDefined() || remoteMillis.values().stream().anyMatch(Double::isFinite);
    }

    /** The other region to be asked, or none to stay. */
    Option<String> region() {
        return RegionChooser.choose(localMillis, remoteMillis, route.objectiveMillis());
    }

    PeerLink host(String region) {
        return hosts.get(region);
    }

    double remoteMillis(String region) {
        return remoteMillis.get(region);
    }

    /**
     * Whether it would be late for others' sake, at the place where it is expected to be answered first. Plain services
     * say by themselves when they are full.
     */
    boolean shouldRefuse() {
        if (!service.isModel() || !state.uses(Mechanism.REFUSE_LATE)) {
            return false;
        }
        Outlook best = outlook();
        return Admission.shouldRefuse(
                best.waitMillis(), best.expectedMillis(), route.objectiveMillis(), work.urgency());
    }

    /** What may be expected at the place that is expected to answer first. */
    Outlook outlook() {
        Outlook best = localOutlook();
        for (String region : hosts.keySet()) {
            Outlook there = outlook(region);
            if (there.expectedMillis() < best.expectedMillis()) {
                best = there;
            }
        }
        return best;
    }

    /** What may be expected in the own region. */
    Outlook localOutlook() {
        return local.map(choice ->
                        new Outlook(state.self().place().region(), choice.waitMillis(), choice.expectedMillis()))
                .getOrElse(Outlook.NONE);
    }

    /** What may be expected in another region, as far as it has told. */
    Outlook outlook(String region) {
        PeerLink link = hosts.get(region);
        return new Outlook(region, expectedMillis(region, link, 0), expectedMillis(region, link, units(work)));
    }

    private double expectedMillis(String region, PeerLink link, int units) {
        return link.roundTripMillis()
                + state.regionLoads().expectedMillis(region, service.name(), work.urgency(), units, state.nowMillis());
    }
}
