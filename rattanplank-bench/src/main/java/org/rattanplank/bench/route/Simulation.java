package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.route.CacheEvent;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.core.route.TargetLoad;

/**
 * Simulates one policy in one scenario: runs the product's routers in virtual time with stand-in targets.
 *
 * <p>Invariant: the same deployment, scenario, policy and seed yield the same results. Confined to one thread.
 */
final class Simulation {
    static final String ANYWHERE = "anywhere";
    static final long LINK_TIMEOUT_MILLIS = 1_000;

    private static final int HOSTS_PER_REGION = 2;
    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long CACHE_LAG_MILLIS = 500;
    private static final double CACHE_EVENT_LOSS_RATIO = 0.05;
    private static final long MISSED_REPORT_DELAY_MILLIS = 200;
    private static final long DRAIN_MILLIS = 100_000;

    private final Deployment deployment;
    private final Scenario scenario;
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Results results = new Results();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Host> hostsByName = new HashMap<>();
    private final Map<String, StandInTarget> targets = new TreeMap<>();
    private final Set<Integer> partitionedRegions = new TreeSet<>();
    private final SplittableRandom random;

    private Simulation(Deployment deployment, Scenario scenario, Policy policy, long seed) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        for (int region = 0; region < deployment.regions.size(); region++) {
            addTargets(region, deployment.model);
            addTargets(region, deployment.plain);
            addHosts(region, policy, seed);
        }
    }

    static Results run(Deployment deployment, Scenario scenario, Policy policy, long seed) {
        Simulation run = new Simulation(deployment, scenario, policy, seed);
        List<Arrival> arrivals = Arrivals.of(deployment, scenario, seed);
        run.configure(arrivals);
        run.scheduleReports();
        scenario.scheduleFaults(run);
        for (Arrival arrival : arrivals) {
            run.scheduler.schedule(arrival.atMillis(), new Caller(run, arrival, scenario.maxRetriesPerCaller())::send);
        }
        run.scheduler.runUntil(Scenario.RUN_MILLIS + DRAIN_MILLIS);
        run.results.computeMetrics(arrivals, run.targets.values(), deployment.interRegionDelayMillis, scenario);
        return run.results;
    }

    VirtualScheduler scheduler() {
        return scheduler;
    }

    Results results() {
        return results;
    }

    Deployment deployment() {
        return deployment;
    }

    Faults faults() {
        return new Faults(this);
    }

    long interRegionDelayMillis() {
        return deployment.interRegionDelayMillis;
    }

    String regionName(int region) {
        return deployment.regions.get(region);
    }

    Set<String> regionNames() {
        return Set.copyOf(deployment.regions);
    }

    Host host(String name) {
        return hostsByName.get(name);
    }

    Host entryHost(Arrival arrival) {
        return hosts.get(arrival.region() * HOSTS_PER_REGION + arrival.host());
    }

    StandInTarget target(String name) {
        return targets.get(name);
    }

    List<StandInTarget> targets(int region, ServiceProfile service) {
        return targets.values().stream()
                .filter(target -> target.region == region)
                .filter(target -> target.listed.service().equals(service.name()))
                .toList();
    }

    boolean isPartitioned(int from, int to) {
        return from != to && (partitionedRegions.contains(from) || partitionedRegions.contains(to));
    }

    void setPartitioned(int region, boolean isPartitioned) {
        if (isPartitioned) {
            partitionedRegions.add(region);
        } else {
            partitionedRegions.remove(region);
        }
    }

    void disconnectLinks(int region) {
        for (Host host : hosts) {
            for (int other = 0; other < deployment.regions.size(); other++) {
                if (other != host.region && (other == region || host.region == region)) {
                    host.disconnect(other, scheduler.nowMillis());
                }
            }
        }
    }

    /** Sends the platform's host list, with the targets that are up, to the hosts of a region. */
    void publishHostList(int region) {
        List<ListedHost> listed = targets.values().stream()
                .filter(target -> target.region == region && target.isUp())
                .map(target -> target.listed)
                .toList();
        hostsOf(region).forEach(host -> host.router.updateTargets(listed, scheduler.nowMillis()));
    }

    private List<Host> hostsOf(int region) {
        return hosts.subList(region * HOSTS_PER_REGION, (region + 1) * HOSTS_PER_REGION);
    }

    private void addTargets(int region, ServiceProfile service) {
        for (int i = 0; i < service.targetsPerRegion()[region]; i++) {
            String name = service.name() + "-" + regionName(region) + "-" + i;
            int factor = scenario.capacityFactor(region);
            targets.put(name, new StandInTarget(name, place(region), region, service, factor, scheduler));
        }
    }

    private void addHosts(int region, Policy policy, long seed) {
        for (int i = 0; i < HOSTS_PER_REGION; i++) {
            String name = regionName(region) + "-" + i;
            Host host = new Host(name, region, place(region), policy, seed * 31 + hosts.size());
            hosts.add(host);
            hostsByName.put(name, host);
        }
    }

    private Location place(int region) {
        return Location.of(regionName(region), regionName(region) + "-hall");
    }

    private void configure(List<Arrival> arrivals) {
        Map<String, Service> services = new HashMap<>();
        for (ServiceProfile profile : List.of(deployment.model, deployment.plain)) {
            services.put(
                    profile.name(),
                    new Service(profile.name(), profile.hasModelEngines(), "", profile.hasModelEngines(), true));
        }
        Map<String, Account> accounts = new HashMap<>();
        for (Arrival arrival : arrivals) {
            String home = regionName(arrival.region());
            accounts.putIfAbsent(arrival.account(), new Account(arrival.account(), "", home, home + "-hall", "", 1));
        }
        Map<String, Set<String>> residencies = Map.of(ANYWHERE, regionNames());
        Configuration configuration = new Configuration(1, "", services, accounts, residencies, Map.of(), Set.of());
        hosts.forEach(host -> host.router.applyConfiguration(configuration, 0));
        for (int region = 0; region < deployment.regions.size(); region++) {
            publishHostList(region);
            sendSummary(region);
        }
    }

    private void scheduleReports() {
        for (int region = 0; region < deployment.regions.size(); region++) {
            int from = region;
            scheduler.scheduleEvery(POLL_INTERVAL_MILLIS, () -> sendSummary(from));
        }
        for (StandInTarget target : targets.values()) {
            hostsOf(target.region)
                    .forEach(host -> scheduler.schedule(
                            random.nextLong(POLL_INTERVAL_MILLIS),
                            () -> scheduler.scheduleEvery(POLL_INTERVAL_MILLIS, () -> pollLoad(host, target))));
            scheduler.scheduleEvery(POLL_INTERVAL_MILLIS, () -> publishCacheEvent(target));
        }
    }

    private void pollLoad(Host host, StandInTarget target) {
        if (!target.isUp()) {
            String name = target.listed.name();
            scheduler.schedule(
                    MISSED_REPORT_DELAY_MILLIS, () -> host.router.recordMissedReport(name, scheduler.nowMillis()));
            return;
        }
        TargetLoad load = target.load();
        scheduler.schedule(scenario.reportLagMillis(), () -> host.router.recordLoadReport(load, scheduler.nowMillis()));
    }

    private void publishCacheEvent(StandInTarget target) {
        CacheEvent event = target.nextCacheEvent();
        for (Host host : hostsOf(target.region)) {
            if (random.nextDouble() >= CACHE_EVENT_LOSS_RATIO) {
                scheduler.schedule(
                        CACHE_LAG_MILLIS, () -> host.router.recordCacheEvents(List.of(event), scheduler.nowMillis()));
            }
        }
    }

    private void sendSummary(int region) {
        Map<String, RemoteRegion.ServiceLoad> loads =
                hostsOf(region).get(0).router.summary(scheduler.nowMillis());
        List<String> names = hostsOf(region).stream().map(host -> host.name).toList();
        RemoteRegion summary = new RemoteRegion(regionName(region), names, loads);
        for (Host host : hosts) {
            if (host.region != region && !isPartitioned(region, host.region)) {
                scheduler.schedule(
                        deployment.interRegionDelayMillis,
                        () -> host.receiveSummary(region, summary, scheduler.nowMillis()));
            }
        }
    }
}
