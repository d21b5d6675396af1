package org.rattanplank.bench.route;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.rattanplank.core.host.Location;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.core.route.Router;

/** A simulated entry host: the product's router and the summaries of other regions. Confined to one thread. */
final class Host {
    final String name;
    final int region;
    final Router router;
    private final Map<Integer, RemoteRegion> remoteRegions = new TreeMap<>();
    private final Set<Call> forwardedCalls = new LinkedHashSet<>();

    Host(String name, int region, Location place, Policy policy, long seed) {
        this.name = name;
        this.region = region;
        this.router = Router.of(place, policy, seed);
    }

    void receiveSummary(int otherRegion, RemoteRegion summary, long nowMillis) {
        remoteRegions.put(otherRegion, summary);
        router.updateRegions(List.copyOf(remoteRegions.values()), nowMillis);
    }

    /** Handles the loss of the links to a region: the attempts that were forwarded there fail. */
    void disconnect(int otherRegion, long nowMillis) {
        remoteRegions.remove(otherRegion);
        router.updateRegions(List.copyOf(remoteRegions.values()), nowMillis);
        List.copyOf(forwardedCalls).forEach(call -> call.linkDisconnected(otherRegion));
    }

    void addForwarded(Call call) {
        forwardedCalls.add(call);
    }

    void removeForwarded(Call call) {
        forwardedCalls.remove(call);
    }
}
