package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Option;

/**
 * Where a request could go at one moment: a target of the own region, or another region.
 *
 * <p>Invariants: regions that the route does not allow, or that were tried, are not among them; a region beyond its share
 * only if nothing else is. Confined to its owner's thread.
 */
public final class Placement {
    private final Demand demand;
    private final String ownRegion;
    private final Mechanisms mechanisms;
    private final Option<Choice> local;
    private final double localMillis;
    private final Map<String, Outlook> remoteEstimates = new HashMap<>();

    private Placement(
            Demand demand,
            Surroundings around,
            TargetChooser chooser,
            RegionLoads loads,
            Mechanisms mechanisms,
            long nowMillis) {
        this.demand = demand;
        this.mechanisms = mechanisms;
        ownRegion = around.ownRegion();
        local = demand.route().allows(ownRegion) ? chooser.choose(demand, around.hosts(), nowMillis) : Option.none();
        localMillis = around.beyondShare().contains(ownRegion)
                ? Double.POSITIVE_INFINITY
                : local.map(choice -> choice.outlook().costMillis()).getOrElse(Double.POSITIVE_INFINITY);
        around.wayMillis().forEach((region, wayMillis) -> {
            boolean mayTake = demand.route().allows(region)
                    && !demand.tried().contains(region)
                    && !around.beyondShare().contains(region);
            if (mayTake) {
                remoteEstimates.put(region, outlook(region, wayMillis, chooser, loads, nowMillis));
            }
        });
    }

    /**
     * Looks where a request could go.
     *
     * @param demand the request
     * @param around what this host sees around it
     * @param chooser chooses targets of its region
     * @param loads what other regions report
     * @param mechanisms which mechanisms are in use
     * @param nowMillis the time
     * @return where it could go
     */
    public static Placement of(
            Demand demand,
            Surroundings around,
            TargetChooser chooser,
            RegionLoads loads,
            Mechanisms mechanisms,
            long nowMillis) {
        return new Placement(demand, around, chooser, loads, mechanisms, nowMillis);
    }

    /**
     * The units in which regions are told how much a request adds.
     *
     * @param work what it asks of a target
     * @return the tokens of its prompt, one if it has none
     */
    public static int units(Work work) {
        return Math.max(1, work.promptTokens());
    }

    /**
     * The best target of the own region.
     *
     * @return the choice, or none if no target may take it
     */
    public Option<Choice> local() {
        return local;
    }

    /**
     * What counts against the own region when it is compared with others.
     *
     * @return milliseconds; infinite if it can't serve it, or has had its share of the work
     */
    public double localMillis() {
        return localMillis;
    }

    /**
     * Whether anything could answer.
     *
     * @return whether a target or another region may take it
     */
    public boolean isPossible() {
        return local.isDefined() || remoteEstimates.values().stream().anyMatch(each -> Double.isFinite(each.expectedMillis()));
    }

    /**
     * The other region to be asked.
     *
     * @return the region, or none to stay
     */
    public Option<String> region() {
        Map<String, Double> expectedMillis = new HashMap<>();
        remoteEstimates.forEach((region, outlook) -> expectedMillis.put(region, outlook.costMillis()));
        return RegionChooser.choose(localMillis, expectedMillis, demand.route().objectiveMillis());
    }

    /**
     * Whether it would be late for others' sake, at the place where it is expected to be answered first. Plain services
     * say by themselves when they are full.
     *
     * @return whether its caller should be refused
     */
    public boolean shouldRefuse() {
        if (!demand.service().isModel() || !mechanisms.uses(Mechanism.REFUSE_LATE)) {
            return false;
        }
        return outlook()
                .shouldRefuse(demand.route().objectiveMillis(), demand.work().urgency());
    }

    /**
     * What may be expected at the place that is expected to answer first.
     *
     * @return the outlook
     */
    public Outlook outlook() {
        Outlook best = localOutlook();
        for (Outlook there : remoteEstimates.values()) {
            best = best.earlierOf(there);
        }
        return best;
    }

    /**
     * What may be expected in the own region.
     *
     * @return the outlook
     */
    public Outlook localOutlook() {
        return local.map(choice -> choice.outlook().inRegion(ownRegion)).getOrElse(Outlook.NONE);
    }

    /**
     * What may be expected in another region, as far as it has told.
     *
     * @param region the region
     * @return the outlook
     */
    public Outlook outlook(String region) {
        return remoteEstimates.getOrDefault(region, Outlook.NONE);
    }

    private Outlook outlook(String region, double wayMillis, TargetChooser chooser, RegionLoads loads, long nowMillis) {
        String service = demand.service().name();
        Work work = demand.work();
        double waitMillis = loads.expectedMillis(region, service, work.urgency(), 0, nowMillis);
        double expectedMillis = loads.expectedMillis(region, service, work.urgency(), units(work), nowMillis);
        RegionStreams streams = loads.streams(region, service);
        double overrunMillis =
                EngineStreamCosts.overrunMillis(demand.service(), work, wayMillis + expectedMillis, streams.paceMillis());
        return new Outlook(
                region,
                wayMillis + waitMillis,
                wayMillis + expectedMillis,
                chooser.chargedTokens(demand.service(), work.urgency(), work.promptTokens())
                        * streams.delayCostMillisPerToken(),
                mechanisms.uses(Mechanism.END_IN_TIME) ? overrunMillis : 0);
    }
}
