package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.Map;
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

    RemoteEngines(Map<String, String> regionsByDataCentre, String ownRegion) {
        this.regionsByDataCentre = Map.copyOf(regionsByDataCentre);
        this.ownRegion = ownRegion;
    }

    void register(TargetEntry entry) {
        String region = regionsByDataCentre.getOrDefault(entry.dataCentre(), ownRegion);
        if (entry.leaving() || region.equals(ownRegion)) {
            engines.remove(entry.id());
            return;
        }
        RemoteEngine previous = engines.get(entry.id());
        if (previous == null || !previous.entry.incarnation().equals(entry.incarnation())) {
            engines.put(entry.id(), new RemoteEngine(entry, region, RendezvousHashing.hash(entry.id())));
        }
    }

    void remove(String id) {
        engines.remove(id);
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
        Map<String, Integer> countsByRegion = new HashMap<>();
        Map<String, RemoteEngine> bestByRegion = new HashMap<>();
        for (RemoteEngine engine : engines.values()) {
            if (!engine.entry.service().equals(service)) {
                continue;
            }
            countsByRegion.merge(engine.region, 1, Integer::sum);
            RemoteEngine best = bestByRegion.get(engine.region);
            if (best == null || engine.affinityScore(prefixHash) > best.affinityScore(prefixHash)) {
                bestByRegion.put(engine.region, engine);
            }
        }
        return Option.ofOptional(countsByRegion.entrySet().stream()
                        .filter(each -> mayServe.test(each.getKey()))
                        .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey())))
                .map(each -> bestByRegion.get(each.getKey()).entry);
    }

    private record RemoteEngine(TargetEntry entry, String region, long idHash) {
        private long affinityScore(long prefixHash) {
            return RendezvousHashing.mix(idHash ^ prefixHash);
        }
    }
}
