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
 * The other regions and the shares of work that regions take.
 *
 * <p>Invariant: a region that is no longer reachable is kept without hosts, so that its return is noticed; at most
 * {@link #MAX_REGIONS} are held. A change of a share takes hold at {@link #SHARE_PER_SECOND}. Confined to the router's
 * lock.
 */
final class RemoteTable {
    static final int MAX_REGIONS = 256;
    static final double SHARE_PER_SECOND = 0.1;

    private final Map<String, Remote> remotes = new TreeMap<>();
    private final Map<String, Ramp> shares = new HashMap<>();
    private boolean configured;

    Collection<Remote> all() {
        return remotes.values();
    }

    Option<Remote> region(String name) {
        return Option.of(remotes.get(name));
    }

    void learn(List<RemoteRegion> regions, long nowMillis) {
        Map<String, RemoteRegion> newer = new TreeMap<>();
        regions.forEach(region -> newer.put(region.region(), region));
        remotes.forEach((name, remote) ->
                remote.learn(newer.getOrDefault(name, new RemoteRegion(name, List.of(), Map.of())), nowMillis));
        newer.forEach((name, region) -> {
            if (!remotes.containsKey(name) && remotes.size() < MAX_REGIONS) {
                remotes.put(name, new Remote(region, nowMillis));
            }
        });
    }

    void configured(Configuration configuration, long nowMillis) {
        Set<String> limited = configuration.shares().keySet();
        shares.entrySet()
                .removeIf(share ->
                        !limited.contains(share.getKey()) && share.getValue().value(nowMillis) >= 1);
        shares.forEach((region, share) -> share.towards(aim(configuration, region), nowMillis));
        for (String region : limited) {
            double first = configured ? 1 : aim(configuration, region);
            if (shares.size() < MAX_REGIONS) {
                shares.computeIfAbsent(region, name -> Ramp.at(first, SHARE_PER_SECOND, nowMillis))
                        .towards(aim(configuration, region), nowMillis);
            }
        }
        configured |= configuration.generation() > 0;
    }

    /** The share of its capacity that a region lends to work that may also go elsewhere. */
    double share(String region, long nowMillis) {
        Ramp share = shares.get(region);
        return share == null ? 1 : share.value(nowMillis);
    }

    private static double aim(Configuration configuration, String region) {
        return Math.max(0, Math.min(1, configuration.shares().getOrDefault(region, 1.0)));
    }
}
