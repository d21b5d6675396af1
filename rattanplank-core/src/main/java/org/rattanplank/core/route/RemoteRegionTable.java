package org.rattanplank.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.intent.Configuration;

/**
 * The other regions, and the configured capacity share of each region.
 *
 * <p>Invariant: an unreachable region is kept without hosts, so that its return is detected; at most {@link
 * #MAX_REGIONS} are held. A capacity share changes by at most {@link #SHARE_CHANGE_PER_SECOND}. Guarded by the router's
 * lock.
 */
final class RemoteRegionTable {
    static final int MAX_REGIONS = 256;
    static final double SHARE_CHANGE_PER_SECOND = 0.1;

    private final Map<String, RemoteRegionState> remotes = new TreeMap<>();
    private final Map<String, Ramp> shares = new HashMap<>();
    private boolean applyConfiguration;

    Collection<RemoteRegionState> all() {
        return remotes.values();
    }

    Option<RemoteRegionState> region(String name) {
        return Option.of(remotes.get(name));
    }

    void update(List<RemoteRegion> regions, long nowMillis) {
        Map<String, RemoteRegion> newest = new TreeMap<>();
        regions.forEach(region -> newest.put(region.region(), region));
        remotes.forEach((name, remote) ->
                remote.update(newest.getOrDefault(name, new RemoteRegion(name, List.of(), Map.of())), nowMillis));
        newest.forEach((name, region) -> {
            if (!remotes.containsKey(name) && remotes.size() < MAX_REGIONS) {
                remotes.put(name, new RemoteRegionState(region, nowMillis));
            }
        });
    }

    void applyConfiguration(Configuration configuration, long nowMillis) {
        Set<String> limited = configuration.shares().keySet();
        shares.entrySet()
                .removeIf(share ->
                        !limited.contains(share.getKey()) && share.getValue().value(nowMillis) >= 1);
        shares.forEach((region, share) -> share.rampTo(configuredShare(configuration, region), nowMillis));
        for (String region : limited) {
            double initial = applyConfiguration ? 1 : configuredShare(configuration, region);
            if (shares.size() < MAX_REGIONS) {
                shares.computeIfAbsent(region, name -> Ramp.at(initial, SHARE_CHANGE_PER_SECOND, nowMillis))
                        .rampTo(configuredShare(configuration, region), nowMillis);
            }
        }
        applyConfiguration |= configuration.generation() > 0;
    }

    /** Returns the share of a region's capacity that is open to work that other regions may also serve. */
    double share(String region, long nowMillis) {
        Ramp share = shares.get(region);
        return share == null ? 1 : share.value(nowMillis);
    }

    private static double configuredShare(Configuration configuration, String region) {
        return Math.max(0, Math.min(1, configuration.shares().getOrDefault(region, 1.0)));
    }
}
