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
 * <p>Invariant: it holds the listed targets and no others, and one entry for each service that is listed or configured.
 * A target that is added to an already existing service starts cold. Guarded by the router's lock.
 */
final class TargetTable {
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    private final Policy policy;
    private final Map<String, Entry> targets = new HashMap<>();
    private final Map<String, ServiceTargets> services = new TreeMap<>();
    private List<ListedHost> updateListed = List.of();
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

    /** Returns after which time a request should be sent again that no target of a service can take. */
    long retryAfterMillis(String service, long nowMillis) {
        long pauseMillis =
                service(service).map(found -> found.pauseMillis(nowMillis)).getOrElse(0L);
        return Math.max(MIN_RETRY_AFTER_MILLIS, pauseMillis);
    }

    Option<Target> target(String name) {
        return Option.of(targets.get(name)).map(Entry::target);
    }

    void updateListed(List<ListedHost> newest, long nowMillis) {
        if (newest.equals(updateListed)) {
            return;
        }
        updateListed = List.copyOf(newest);
        Map<String, List<Target>> byService = new TreeMap<>();
        services.keySet().forEach(service -> byService.put(service, new ArrayList<>()));
        Map<String, Entry> current = new HashMap<>();
        for (ListedHost host : newest) {
            Entry entry = entryFor(host, nowMillis);
            current.put(host.name(), entry);
            byService
                    .computeIfAbsent(host.service(), service -> new ArrayList<>())
                    .add(entry.target());
        }
        targets.forEach((name, entry) -> {
            if (current.get(name) != entry) {
                entry.target().markUnlisted();
            }
        });
        targets.clear();
        targets.putAll(current);
        byService.forEach((name, members) -> serviceTargets(name).targets(members.toArray(new Target[0]), nowMillis));
    }

    void applyConfiguration(Configuration newest) {
        configuration = newest;
        services.entrySet()
                .removeIf(service -> service.getValue().size() == 0
                        && newest.service(service.getKey()).isEmpty());
        services.forEach((name, service) -> service.wantedVersion(wantedVersion(name)));
    }

    void recordReport(TargetLoad load, long nowMillis) {
        Entry entry = targets.get(load.target());
        if (entry != null) {
            int previousLoad = entry.target().load.load();
            boolean hasChanged = entry.target().recordReport(load, nowMillis);
            ServiceTargets service = serviceTargets(entry.service());
            service.adjustLoad(entry.target().load.load() - previousLoad);
            if (hasChanged) {
                service.filterByVersion();
            }
        }
    }

    /** Records a missed load report, and ejects the target after several in a row, as if its requests had failed. */
    void recordMissedReport(String name, long nowMillis) {
        Entry entry = targets.get(name);
        if (entry != null && entry.target().recordMissedReport() >= Target.MAX_MISSED_REPORTS) {
            serviceTargets(entry.service()).eject(entry.target(), nowMillis);
        }
    }

    private Entry entryFor(ListedHost host, long nowMillis) {
        Entry existing = targets.get(host.name());
        if (existing != null && existing.service().equals(host.service())) {
            return existing;
        }
        boolean serviceIsKnown = services.containsKey(host.service());
        Target target = serviceIsKnown
                ? Target.cold(host.name(), host.service(), nowMillis)
                : Target.warm(host.name(), host.service(), nowMillis);
        return new Entry(host.service(), target);
    }

    private ServiceTargets serviceTargets(String name) {
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
