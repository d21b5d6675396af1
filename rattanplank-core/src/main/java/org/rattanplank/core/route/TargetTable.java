package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.intent.Configuration;

/**
 * The targets of this region by name and by service.
 *
 * <p>Invariant: it holds the listed targets and no others, and one entry for each service that is listed or configured. A target
 * that is listed after its service had others starts cold. Confined to the router's lock.
 */
final class TargetTable {
    private final Policy policy;
    private final Map<String, Entry> targets = new HashMap<>();
    private final Map<String, ServiceTargets> services = new TreeMap<>();
    private List<ListedHost> listed = List.of();
    private Configuration configuration = Configuration.empty();

    TargetTable(Policy policy) {
        this.policy = policy;
    }

    int size() {
        return targets.size();
    }

    Map<String, ServiceTargets> services() {
        return services;
    }

    Option<ServiceTargets> service(String name) {
        return Option.of(services.get(name));
    }

    Option<Target> target(String name) {
        return Option.of(targets.get(name)).map(Entry::target);
    }

    void listed(List<ListedHost> newer, long nowMillis) {
        if (newer.equals(listed)) {
            return;
        }
        listed = List.copyOf(newer);
        Map<String, List<Target>> byService = new TreeMap<>();
        services.keySet().forEach(service -> byService.put(service, new ArrayList<>()));
        Map<String, Entry> kept = new HashMap<>();
        for (ListedHost host : newer) {
            Entry entry = entry(host, nowMillis);
            kept.put(host.name(), entry);
            byService
                    .computeIfAbsent(host.service(), service -> new ArrayList<>())
                    .add(entry.target());
        }
        targets.forEach((name, entry) -> {
            if (kept.get(name) != entry) {
                entry.target().unlisted();
            }
        });
        targets.clear();
        targets.putAll(kept);
        byService.forEach((name, members) -> serviceOf(name).targets(members.toArray(new Target[0]), nowMillis));
    }

    void configured(Configuration newer) {
        configuration = newer;
        services.entrySet()
                .removeIf(service -> service.getValue().size() == 0
                        && newer.service(service.getKey()).isEmpty());
        services.forEach((name, service) -> service.wantedVersion(wantedVersion(name)));
    }

    void reported(TargetLoad load, long nowMillis) {
        Entry entry = targets.get(load.target());
        if (entry != null) {
            int before = entry.target().load.load();
            boolean changes = entry.target().reported(load, nowMillis);
            ServiceTargets service = serviceOf(entry.service());
            service.changed(entry.target().load.load() - before);
            if (changes) {
                service.filterByVersion();
            }
        }
    }

    /** Leaves out a target that has not answered several times in a row, as if its requests had failed. */
    void missed(String name, long nowMillis) {
        Entry entry = targets.get(name);
        if (entry != null && entry.target().missed() >= Target.MISSES) {
            serviceOf(entry.service()).eject(entry.target(), nowMillis);
        }
    }

    private Entry entry(ListedHost host, long nowMillis) {
        Entry known = targets.get(host.name());
        if (known != null && known.service().equals(host.service())) {
            return known;
        }
        boolean serviceIsKnown = services.containsKey(host.service());
        Target target = serviceIsKnown
                ? Target.cold(host.name(), host.service(), nowMillis)
                : Target.warm(host.name(), host.service(), nowMillis);
        return new Entry(host.service(), target);
    }

    private ServiceTargets serviceOf(String name) {
        return services.computeIfAbsent(name, added -> {
            ServiceTargets service = new ServiceTargets(policy);
            service.wantedVersion(wantedVersion(added));
            return service;
        });
    }

    private String wantedVersion(String service) {
        return configuration
                .service(service)
                .map(found -> found.wantedVersion())
                .getOrElse("");
    }

    private record Entry(String service, Target target) {}
}
