package org.rattanplank.core.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.vavr.control.Option;
import org.rattanplank.core.host.RendezvousHashing;

/**
 * The targets of other regions, from which an engine of this region may copy shared prompt parts that it lacks.
 *
 * <p>Invariant: it has the newest known entry of each target that is not leaving. No request is sent to them. Confined to
 * its owner's thread.
 */
final class RemoteEngines {
    private final Map<String, String> regionsByDataCentre;
    private final String ownRegion;
    private final Map<String, RemoteEngine> engines = new HashMap<>();

    /** By service and region, so that a decision looks at the engines of one region only. */
    private final Map<String, Map<String, Set<RemoteEngine>>> enginesByRegion = new HashMap<>();

    RemoteEngines(Map<String, String> regionsByDataCentre, String ownRegion) {
        this.regionsByDataCentre = Map.copyOf(regionsByDataCentre);
        this.ownRegion = ownRegion;
    }

    void register(TargetEntry entry) {
        RemoteEngine previous = engines.get(entry.id());
        if (previous != null && previous.entry.equals(entry)) {
            return;
        }
        remove(entry.id());
        String region = regionsByDataCentre.getOrDefault(entry.dataCentre(), ownRegion);
        if (!entry.leaving() && !region.equals(ownRegion)) {
            RemoteEngine engine = new RemoteEngine(entry, region, RendezvousHashing.hash(entry.id()));
            engines.put(entry.id(), engine);
            enginesByRegion
                    .computeIfAbsent(entry.service(), service -> new HashMap<>())
                    .computeIfAbsent(region, name -> new HashSet<>())
                    .add(engine);
        }
    }

    void remove(String id) {
        RemoteEngine engine = engines.remove(id);
        if (engine != null) {
            enginesByRegion.get(engine.entry.service()).get(engine.region).remove(engine);
        }
    }

    /**
     * Returns the target of another region that most likely has a prefix cached: its affinity target in the region with the
     * most targets of the service, where it is most likely to be in use.
     *
     * @param service the service
     * @param prefixHash the hash of the prefix
     * @param mayServe whether a region may serve the request
     * @return its entry, or none if no other region has one
     */
    Option<TargetEntry> affinityTarget(String service, long prefixHash, Predicate<String> mayServe) {
        Optional<Set<RemoteEngine>> largest = enginesByRegion.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(region -> mayServe.test(region.getKey()))
                .max(Comparator.<Map.Entry<String, Set<RemoteEngine>>>comparingInt(
                                region -> region.getValue().size())
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getValue);
        return Option.ofOptional(largest.flatMap(region -> region.stream()
                        .max(Comparator.comparingLong(each -> RendezvousHashing.score(each.idHash, prefixHash)))))
                .map(RemoteEngine::entry);
    }

    private record RemoteEngine(TargetEntry entry, String region, long idHash) {}
}
