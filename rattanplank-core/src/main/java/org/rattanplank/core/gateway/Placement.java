package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Option;

/**
 * The candidates for a request at one moment: a target of this host's region, or another region.
 *
 * <p>Invariants: regions that the route does not allow, or that are excluded, are not candidates; a region over its
 * share is one only if no other is left. Confined to its owner's thread.
 */
public final class Placement {
    private final PlacementRequest request;
    private final String ownRegion;
    private final Mechanisms mechanisms;
    private final Option<TargetChoice> localChoice;
    private final double localCostMillis;
    private final Map<String, ServiceEstimate> remoteEstimates = new HashMap<>();

    private Placement(
            PlacementRequest request,
            ClusterView clusterView,
            TargetChooser chooser,
            RegionLoads loads,
            Mechanisms mechanisms,
            long nowMillis) {
        this.request = request;
        this.mechanisms = mechanisms;
        ownRegion = clusterView.ownRegion();
        localChoice = request.route().allows(ownRegion)
                ? chooser.choose(request, clusterView.regionView(), nowMillis)
                : Option.none();
        localCostMillis = clusterView.overShare().contains(ownRegion)
                ? Double.POSITIVE_INFINITY
                : localChoice.map(choice -> choice.estimate().costMillis()).getOrElse(Double.POSITIVE_INFINITY);
        clusterView.roundTripMillis().forEach((region, roundTripMillis) -> {
            boolean mayServe = request.route().allows(region)
                    && !request.excluded().contains(region)
                    && !clusterView.overShare().contains(region);
            if (mayServe) {
                remoteEstimates.put(region, estimate(region, roundTripMillis, chooser, loads, nowMillis));
            }
        });
    }

    /**
     * Determines the candidates for a request.
     *
     * @param request the request
     * @param clusterView this host's view of the cluster
     * @param chooser chooses targets of this host's region
     * @param loads the reports of other regions
     * @param mechanisms the mechanisms in use
     * @param nowMillis the time
     * @return the candidates
     */
    public static Placement of(
            PlacementRequest request,
            ClusterView clusterView,
            TargetChooser chooser,
            RegionLoads loads,
            Mechanisms mechanisms,
            long nowMillis) {
        return new Placement(request, clusterView, chooser, loads, mechanisms, nowMillis);
    }

    /**
     * Returns how much a request adds to a region's load, in the units of the regions' reports.
     *
     * @param work the work of the request
     * @return the tokens of its prompt, or one if it has none
     */
    public static int workUnits(Work work) {
        return Math.max(1, work.promptTokens());
    }

    /**
     * Returns the best target of this host's region.
     *
     * @return the choice, or none if no target may accept the request
     */
    public Option<TargetChoice> localChoice() {
        return localChoice;
    }

    /**
     * Returns the cost of this host's region for comparison with others.
     *
     * @return milliseconds; infinite if the region can't serve the request or is over its share
     */
    public double localCostMillis() {
        return localCostMillis;
    }

    /**
     * Returns whether the request can be served at all.
     *
     * @return whether a target or another region may accept it
     */
    public boolean hasCandidate() {
        return localChoice.isDefined()
                || remoteEstimates.values().stream().anyMatch(each -> Double.isFinite(each.expectedMillis()));
    }

    /**
     * Returns the other region that the request should be forwarded to.
     *
     * @return the region, or none to serve it locally
     */
    public Option<String> forwardRegion() {
        Map<String, Double> expectedMillis = new HashMap<>();
        remoteEstimates.forEach((region, estimate) -> expectedMillis.put(region, estimate.costMillis()));
        return RegionChooser.choose(
                localCostMillis, expectedMillis, request.route().objectiveMillis());
    }

    /**
     * Returns whether the request should be rejected: at the candidate that is expected to answer first it would be
     * late, or make others late. Plain services report themselves when they are full.
     *
     * @return whether its caller should be rejected
     */
    public boolean shouldReject() {
        if (!request.service().isModel() || !mechanisms.isEnabled(Mechanism.REFUSE_LATE)) {
            return false;
        }
        return estimate()
                .shouldReject(request.route().objectiveMillis(), request.work().urgency());
    }

    /**
     * Returns the estimate of the candidate that is expected to answer first.
     *
     * @return the estimate
     */
    public ServiceEstimate estimate() {
        ServiceEstimate best = localEstimate();
        for (ServiceEstimate remoteEstimate : remoteEstimates.values()) {
            best = best.earlierOf(remoteEstimate);
        }
        return best;
    }

    /**
     * Returns the estimate for this host's region.
     *
     * @return the estimate
     */
    public ServiceEstimate localEstimate() {
        return localChoice.map(choice -> choice.estimate().inRegion(ownRegion)).getOrElse(ServiceEstimate.NONE);
    }

    /**
     * Returns the estimate for another region according to its reports.
     *
     * @param region the region
     * @return the estimate
     */
    public ServiceEstimate estimate(String region) {
        return remoteEstimates.getOrDefault(region, ServiceEstimate.NONE);
    }

    private ServiceEstimate estimate(
            String region, double roundTripMillis, TargetChooser chooser, RegionLoads loads, long nowMillis) {
        String service = request.service().name();
        Work work = request.work();
        double queueWaitMillis = loads.expectedMillis(region, service, work.urgency(), 0, nowMillis);
        double expectedMillis = loads.expectedMillis(region, service, work.urgency(), workUnits(work), nowMillis);
        RegionStreamStats streamStats = loads.streamStats(region, service);
        double overrunMillis = EngineStreamCosts.overrunMillis(
                request.service(), work, roundTripMillis + expectedMillis, streamStats.interTokenMillis());
        return new ServiceEstimate(
                region,
                roundTripMillis + queueWaitMillis,
                roundTripMillis + expectedMillis,
                chooser.chargedTokens(request.service(), work.urgency(), work.promptTokens())
                        * streamStats.delayCostMillisPerToken(),
                mechanisms.isEnabled(Mechanism.END_IN_TIME) ? overrunMillis : 0);
    }
}
