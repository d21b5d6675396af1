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
 * One run of one policy in one scenario: the product's routers, driven in virtual time with stand-in targets.
 *
 * <p>Invariant: the same deployment, scenario, policy and seed give the same results. Confined to one thread.
 */
final class Simulation {
    static final String ANYWHERE = "anywhere";
    static final long LINK_TIMEOUT_MILLIS = 1_000;

    private static final int HOSTS_BY_REGION = 2;
    private static final long POLL_MILLIS = 500;
    private static final long CACHE_LAG_MILLIS = 500;
    private static final double CACHE_EVENTS_LOST = 0.05;
    private static final long MISSED_MILLIS = 200;
    private static final long DRAIN_MILLIS = 100_000;

    private final Deployment deployment;
    private final Scenario scenario;
    private final VirtualTime time = new VirtualTime();
    private final Results results = new Results();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Host> hostsByName = new HashMap<>();
    private final Map<String, StandInTarget> targets = new TreeMap<>();
    private final Set<Integer> cut = new TreeSet<>();
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
        run.startReports();
        scenario.plan(run);
        for (Arrival arrival : arrivals) {
            run.time.after(arrival.atMillis(), new Caller(run, arrival, scenario.repeatsByCaller())::ask);
        }
        run.time.runUntil(Scenario.RUN_MILLIS + DRAIN_MILLIS);
        run.results.end(arrivals, run.targets.values(), deployment.crossingMillis, scenario);
        return run.results;
    }

    VirtualTime time() {
        return time;
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

    long crossingMillis() {
        return deployment.crossingMillis;
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
        return hosts.get(arrival.region() * HOSTS_BY_REGION + arrival.host());
    }

    StandInTarget target(String name) {
        return targets.get(name);
    }

    List<StandInTarget> targets(int region, ServiceShape service) {
        return targets.values().stream()
                .filter(target -> target.region == region)
                .filter(target -> target.listed.service().equals(service.name()))
                .toList();
    }

    boolean isCut(int from, int to) {
        return from != to && (cut.contains(from) || cut.contains(to));
    }

    void cut(int region, boolean isCut) {
        if (isCut) {
            cut.add(region);
        } else {
            cut.remove(region);
        }
    }

    void loseLinks(int region) {
        for (Host host : hosts) {
            for (int other = 0; other < deployment.regions.size(); other++) {
                if (other != host.region && (other == region || host.region == region)) {
                    host.loses(other, time.nowMillis());
                }
            }
        }
    }

    /** Gives a region's hosts the platform's list, which holds the targets that are up. */
    void list(int region) {
        List<ListedHost> listed = targets.values().stream()
                .filter(target -> target.region == region && target.isUp())
                .map(target -> target.listed)
                .toList();
        hostsOf(region).forEach(host -> host.router.updateTargets(listed, time.nowMillis()));
    }

    private List<Host> hostsOf(int region) {
        return hosts.subList(region * HOSTS_BY_REGION, (region + 1) * HOSTS_BY_REGION);
    }

    private void addTargets(int region, ServiceShape service) {
        for (int i = 0; i < service.targetsByRegion()[region]; i++) {
            String name = service.name() + "-" + regionName(region) + "-" + i;
            int factor = scenario.capacityFactor(region);
            targets.put(name, new StandInTarget(name, place(region), region, service, factor, time));
        }
    }

    private void addHosts(int region, Policy policy, long seed) {
        for (int i = 0; i < HOSTS_BY_REGION; i++) {
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
        for (ServiceShape shape : List.of(deployment.model, deployment.plain)) {
            services.put(shape.name(), new Service(shape.name(), shape.model(), "", shape.model(), true));
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
            list(region);
            summarize(region);
        }
    }

    private void startReports() {
        for (int region = 0; region < deployment.regions.size(); region++) {
            int from = region;
            time.every(POLL_MILLIS, () -> summarize(from));
        }
        for (StandInTarget target : targets.values()) {
            hostsOf(target.region)
                    .forEach(host -> time.after(
                            random.nextLong(POLL_MILLIS), () -> time.every(POLL_MILLIS, () -> poll(host, target))));
            time.every(POLL_MILLIS, () -> publishCache(target));
        }
    }

    private void poll(Host host, StandInTarget target) {
        if (!target.isUp()) {
            String name = target.listed.name();
            time.after(MISSED_MILLIS, () -> host.router.recordMissedReport(name, time.nowMillis()));
            return;
        }
        TargetLoad load = target.load();
        time.after(scenario.reportLagMillis(), () -> host.router.recordLoadReport(load, time.nowMillis()));
    }

    private void publishCache(StandInTarget target) {
        CacheEvent event = target.cacheEvent();
        for (Host host : hostsOf(target.region)) {
            if (random.nextDouble() >= CACHE_EVENTS_LOST) {
                time.after(CACHE_LAG_MILLIS, () -> host.router.recordCacheEvents(List.of(event), time.nowMillis()));
            }
        }
    }

    private void summarize(int region) {
        Map<String, RemoteRegion.ServiceLoad> loads =
                hostsOf(region).get(0).router.summary(time.nowMillis());
        List<String> names = hostsOf(region).stream().map(host -> host.name).toList();
        RemoteRegion summary = new RemoteRegion(regionName(region), names, loads);
        for (Host host : hosts) {
            if (host.region != region && !isCut(region, host.region)) {
                time.after(deployment.crossingMillis, () -> host.hears(region, summary, time.nowMillis()));
            }
        }
    }
}
