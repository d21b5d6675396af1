package org.rattanplank.gateway.pass;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.account.AllowanceControl;
import org.rattanplank.core.account.AllowanceRefusal;
import org.rattanplank.core.gateway.ClusterView;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.MaxDurations;
import org.rattanplank.core.gateway.Mechanism;
import org.rattanplank.core.gateway.Mechanisms;
import org.rattanplank.core.gateway.MemoryHolder;
import org.rattanplank.core.gateway.Placement;
import org.rattanplank.core.gateway.PlacementRequest;
import org.rattanplank.core.gateway.RegionLoads;
import org.rattanplank.core.gateway.RegionView;
import org.rattanplank.core.gateway.RequestDuration;
import org.rattanplank.core.gateway.RetryAfterQueue;
import org.rattanplank.core.gateway.RetryBudget;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetChooser;
import org.rattanplank.core.gateway.TargetPool;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.gateway.GatewayMetrics;
import org.rattanplank.gateway.GatewaySettings;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.SharedLimits;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.target.TargetConnections;

/**
 * State shared by all requests of this host.
 *
 * <p>Invariant: the configuration version never decreases. Confined to the event loop.
 */
public final class GatewayState {
    /**
     * The minimum number of shares that the retry budget's slack is divided into. A small system may nearly triple its
     * number of hosts before they know of each other; in addition each host has its ratio of its own sends.
     */
    private static final int MIN_SLACK_SHARES = 16;

    /**
     * Time from start until the list of hosts is considered complete. Reading the store and connecting to the hosts of
     * the region takes much less, also when all hosts start at once.
     */
    private static final long STARTUP_MILLIS = 3_000;

    /**
     * How long a snapshot of the connected hosts is reused. Each request needs it several times and building it
     * iterates over all links; the loss of a host is detected only much later than this.
     */
    private static final long PEERS_CACHE_MILLIS = 50;

    /** Bounds the delay of callers whose account has nothing left in this region. */
    private static final double MIN_UNITS_PER_MILLI = 0.001;

    private final GatewayHost self;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Mechanisms mechanisms;
    private final TargetPool pool;
    private final TargetChooser chooser;
    private final RegionLoads regionLoads = new RegionLoads();
    private final RetryBudget retryBudget;
    private final RetryAfterQueue retryAfterQueue = new RetryAfterQueue();
    private final RetryAfterQueue allowanceQueue = new RetryAfterQueue();
    private final GatewayMemory memory = GatewayMemory.ofHeap();
    private final TargetConnections connections;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private Option<GatewayConfiguration> baseConfiguration = Option.none();
    private Option<GatewayConfiguration> configuration = Option.none();
    private Configuration intents = Configuration.empty();
    private PeerLinks links;
    private ConnectedPeers connectedPeers = ConnectedPeers.NONE;
    private long connectedPeersAtMillis = Long.MIN_VALUE / 2;
    private final long startedAtMillis;
    private final MaxDurations recentDurations = new MaxDurations();
    private RequestAdmission admission = RequestAdmission.OPEN;
    private BooleanSupplier isFeedComplete = () -> false;
    private Consumer<GatewayTarget> largePrefillListener = target -> {};
    private final AllowanceControl allowances;
    private final AllowanceCharges charges;
    private final RequestQuarantine quarantine;
    private final CrashDetector crashDetector;

    /**
     * Creates the state of a host without configuration, peers or targets.
     *
     * @param settings the settings of this process
     * @param self this host
     * @param clock the clock
     * @param random the source of random choices
     * @param connections the connections to targets
     * @param log the log
     * @param metrics the metrics
     */
    public GatewayState(
            GatewaySettings settings,
            GatewayHost self,
            MonotonicClock clock,
            RandomGenerator random,
            TargetConnections connections,
            EventLog log,
            GatewayMetrics metrics) {
        this.self = self;
        this.clock = clock;
        this.random = random;
        startedAtMillis = clock.nowMillis();
        this.connections = connections;
        this.log = log;
        this.metrics = metrics;
        pool = TargetPool.of(settings.regionsByDataCentre(), settings.location().region());
        SharedLimits limits = settings.limits();
        retryBudget = RetryBudget.of(
                limits.retryBudgetRatio(),
                limits.retryBudgetSlack(),
                MIN_SLACK_SHARES,
                limits.retryBudgetWindowMillis());
        allowances = new AllowanceControl(settings.regions(), limits.allowanceBounds());
        mechanisms = settings.mechanisms();
        charges = new AllowanceCharges(allowances, clock::nowMillis, uses(Mechanism.ALLOWANCES));
        chooser = TargetChooser.of(self.name(), pool, random, mechanisms);
        quarantine = new RequestQuarantine(self.name(), clock::nowMillis, log);
        crashDetector = new CrashDetector(connections, quarantine, clock::nowMillis);
    }

    /**
     * Attaches the links to other hosts and the store feed.
     *
     * @param peerLinks the links
     * @param feedComplete returns whether all items of the store were received at least once
     */
    public void attach(PeerLinks peerLinks, BooleanSupplier feedComplete) {
        links = peerLinks;
        isFeedComplete = feedComplete;
    }

    /**
     * Returns whether this host can serve requests.
     *
     * @return whether a configuration and the targets are known
     */
    public boolean isInitialized() {
        return configuration.isDefined() && isFeedComplete.getAsBoolean();
    }

    /**
     * Applies a configuration if it is newer than the one in force.
     *
     * @param newer the configuration
     * @return whether it was applied
     */
    public boolean applyConfiguration(GatewayConfiguration newer) {
        // An older version may arrive late, from a host that was partitioned or from a page of the store that was read
        // before a change. Applying it would send requests where the operator no longer wants them.
        if (newer.version() <= configurationVersion()) {
            return false;
        }
        baseConfiguration = Option.some(newer);
        rebuildConfiguration();
        return true;
    }

    /**
     * Applies the operators' intents if they are newer than those in force. They refine the configuration: the regions
     * that may serve a route or service, the share of a region, and the hosts and targets to retire.
     *
     * @param newer the intents
     * @return whether they were applied
     */
    public boolean applyIntents(Configuration newer) {
        if (newer.generation() <= intents.generation()) {
            return false;
        }
        intents = newer;
        rebuildConfiguration();
        return true;
    }

    /**
     * Returns the intents in force.
     *
     * @return the intents; generation zero if there are none
     */
    public Configuration intents() {
        return intents;
    }

    /**
     * Returns whether an intent retires this host.
     *
     * @return whether this host is to leave
     */
    public boolean isRetiring() {
        return intents.retiring().contains(self.name());
    }

    private void rebuildConfiguration() {
        configuration = baseConfiguration.map(unrefined -> unrefined.restrictedTo(intents.residencies()));
        configuration.forEach(newest -> allowances.configure(newest.accounts(), nowMillis()));
        markRetiringTargets();
    }

    /** Marks targets that an intent retires as leaving. Called also after a target is added. */
    public void markRetiringTargets() {
        intents.retiring().forEach(name -> pool.find(name).forEach(GatewayTarget::markLeaving));
    }

    /** Returns where a request could be sent now, and over which links. */
    RoutingOptions routingOptions(PlacementRequest request) {
        Map<String, PeerLink> linksByRegion = uses(Mechanism.FORWARD) ? drawRemoteLinks(request.route()) : Map.of();
        Map<String, Double> networkRoundTripMillis = new HashMap<>();
        linksByRegion.forEach((region, link) -> networkRoundTripMillis.put(region, link.roundTripMillis()));
        ClusterView clusterView =
                new ClusterView(self.location().region(), regionView(), networkRoundTripMillis, drawRegionsOverShare());
        return new RoutingOptions(
                Placement.of(request, clusterView, chooser, regionLoads, mechanisms, nowMillis()), linksByRegion);
    }

    /** Returns whether a new request could be sent anywhere now. */
    boolean hasCandidate(RouteRule route, ServiceRule service, Work work) {
        return routingOptions(new PlacementRequest(route, service, work, Set.of()))
                .placement()
                .hasCandidate();
    }

    /** Draws the regions that accept no further request, each with probability 1 minus its configured share. */
    private Set<String> drawRegionsOverShare() {
        Set<String> overShare = new HashSet<>();
        intents.shares().forEach((region, share) -> {
            if (random.nextDouble() >= share) {
                overShare.add(region);
            }
        });
        return overShare;
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version, zero if there is none
     */
    public long configurationVersion() {
        return configuration.map(GatewayConfiguration::version).getOrElse(0L);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or none if none is known yet
     */
    public Option<GatewayConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns this host.
     *
     * @return its entry
     */
    public GatewayHost self() {
        return self;
    }

    /**
     * Returns the targets of this region.
     *
     * @return the pool
     */
    public TargetPool pool() {
        return pool;
    }

    /**
     * Returns the target chooser.
     *
     * @return the chooser
     */
    public TargetChooser chooser() {
        return chooser;
    }

    /**
     * Returns the loads reported by other regions.
     *
     * @return the loads
     */
    public RegionLoads regionLoads() {
        return regionLoads;
    }

    /**
     * Returns the memory that all requests share.
     *
     * @return the parts of it
     */
    public GatewayMemory memory() {
        return memory;
    }

    /**
     * Creates a holder of memory for what is incomplete of one response.
     *
     * @return the holder, which holds nothing yet
     */
    public MemoryHolder newIncompleteHolder() {
        return MemoryHolder.of(memory.incomplete(), clock::nowMillis);
    }

    /**
     * Returns the event log.
     *
     * @return the log
     */
    public EventLog log() {
        return log;
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the current time.
     *
     * @return the time of the monotonic clock
     */
    public long nowMillis() {
        return clock.nowMillis();
    }

    /**
     * Returns the hosts of this region.
     *
     * @return the view
     */
    public RegionView regionView() {
        return connectedPeers().region();
    }

    /**
     * Returns whether a mechanism is enabled.
     *
     * @param mechanism the mechanism
     * @return whether it is enabled
     */
    public boolean uses(Mechanism mechanism) {
        return mechanisms.isEnabled(mechanism);
    }

    /**
     * Restricts which requests may start from now on.
     *
     * @param newAdmission decides whether a request may start
     */
    public void restrict(RequestAdmission newAdmission) {
        admission = newAdmission;
    }

    /**
     * Sets the listener for targets to which this host sends a large prefill.
     *
     * @param listener called with each such target
     */
    public void onLargePrefill(Consumer<GatewayTarget> listener) {
        largePrefillListener = listener;
    }

    void notifyLargePrefill(GatewayTarget target) {
        largePrefillListener.accept(target);
    }

    /** Returns what decides which requests may start on this host. */
    RequestAdmission admission() {
        return admission;
    }

    /** Returns what is known of the duration of a request of a route with the given time left until its deadline. */
    RequestDuration duration(RouteRule route, long remainingMillis) {
        return new RequestDuration(
                recentDurations.maxMillis(route.name(), nowMillis()),
                remainingMillis,
                route.kind().isInterruptible());
    }

    /** Records the duration of a request, or its duration so far if it is still in progress. */
    void recordDuration(RouteRule route, long millis) {
        recentDurations.record(route.name(), millis, nowMillis());
    }

    /**
     * Returns the control of client accounts' allowances.
     *
     * @return the control
     */
    public AllowanceControl allowances() {
        return allowances;
    }

    AllowanceCharges charges() {
        return charges;
    }

    /**
     * Returns the quarantine of requests that crash targets.
     *
     * @return the quarantine
     */
    public RequestQuarantine quarantine() {
        return quarantine;
    }

    /**
     * Expires evidence of crashes and checks targets at which connections have ended.
     *
     * @param nowMillis the time
     */
    public void tickQuarantine(long nowMillis) {
        quarantine.tick(nowMillis);
        crashDetector.tick(nowMillis);
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    /**
     * Returns the connections to targets.
     *
     * @return the connections
     */
    public TargetConnections connections() {
        return connections;
    }

    /** Returns the header by which targets receive the name of a request's client account. */
    String accountHeader() {
        return connections.headerNames().account();
    }

    double nextRandom() {
        return random.nextDouble();
    }

    /**
     * Returns the delay after which a rejected caller should retry.
     *
     * @param service the service of its request, if it is known
     * @param work the work of its request
     * @param unavailableMillis how long nothing of the service can be served, zero if something can
     * @param remainingMillis the time that the caller has left
     * @return the delay in milliseconds
     */
    long retryAfterMillis(Option<ServiceRule> service, Work work, long unavailableMillis, long remainingMillis) {
        double prefillMillis = service.filter(ServiceRule::isModel)
                .map(rule -> prefillShareMillis(rule, work))
                .getOrElse(0.0);
        String name = service.map(ServiceRule::name).getOrElse("");
        return retryAfterQueue.retryAfterMillis(
                name, work.urgency(), prefillMillis, unavailableMillis, remainingMillis, nextRandom(), nowMillis());
    }

    /**
     * Returns the delay after which a caller over its client account's allowance should retry: callers who are refused are
     * spread over the time in which the account's region may use as much as they ask for.
     *
     * @param refusal why its request is refused
     * @param account its account
     * @param units the units that its request would use
     * @param remainingMillis the time that the caller has left
     * @return the delay in milliseconds
     */
    long retryAfterMillis(AllowanceRefusal refusal, String account, long units, long remainingMillis) {
        double unitsPerMilli = Math.max(MIN_UNITS_PER_MILLI, refusal.limitUnits() / allowances.windowMillis());
        double costMillis = units * regionView().hosts().size() / unitsPerMilli;
        long queuedMillis = allowanceQueue.retryAfterMillis(
                account, Urgency.FIRST, costMillis, 0, remainingMillis, nextRandom(), nowMillis());
        return Math.max(refusal.retryAfterMillis(), queuedMillis);
    }

    /** Returns the prefill time of a request divided by this host's share of the region's engines. */
    private double prefillShareMillis(ServiceRule service, Work work) {
        long engines = pool.all().stream()
                .filter(target -> target.entry().service().equals(service.name()) && !target.isLeaving())
                .count();
        double prefillMillis = work.promptTokens()
                * chooser.latencyModel(service.name()).millisPerWorkUnit(true, work.urgency(), 1, nowMillis());
        return prefillMillis * regionView().hosts().size() / Math.max(1, engines);
    }

    /** Returns one link to a randomly drawn host for each other region that may serve a route. */
    private Map<String, PeerLink> drawRemoteLinks(RouteRule route) {
        Map<String, PeerLink> drawnLinks = new HashMap<>();
        connectedPeers().acceptingLinksByRegion().forEach((region, regionLinks) -> {
            // A link may have closed since the snapshot was taken; a request sent over it would wait until its
            // deadline.
            List<PeerLink> alive =
                    regionLinks.stream().filter(PeerLink::isAlive).toList();
            if (route.allows(region) && !alive.isEmpty()) {
                drawnLinks.put(region, alive.get(random.nextInt(alive.size())));
            }
        });
        return drawnLinks;
    }

    /** Returns a link to a randomly drawn host of another region, if the region may serve a route. */
    Option<PeerLink> drawLink(RouteRule route, String region) {
        return Option.of(drawRemoteLinks(route).get(region));
    }

    private ConnectedPeers connectedPeers() {
        long now = nowMillis();
        if (now - connectedPeersAtMillis >= PEERS_CACHE_MILLIS) {
            connectedPeersAtMillis = now;
            connectedPeers = ConnectedPeers.of(self, links, now - startedAtMillis >= STARTUP_MILLIS);
            retryBudget.updateKnownHosts(links.knownHostCount());
        }
        return connectedPeers;
    }
}
