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

/** One entry host of a run: the product's router and what its links have brought. Confined to one thread. */
final class Host {
    final String name;
    final int region;
    final Router router;
    private final Map<Integer, RemoteRegion> remote = new TreeMap<>();
    private final Set<Call> forwarded = new LinkedHashSet<>();

    Host(String name, int region, Location place, Policy policy, long seed) {
        this.name = name;
        this.region = region;
        this.router = Router.of(place, policy, seed);
    }

    void hears(int otherRegion, RemoteRegion summary, long nowMillis) {
        remote.put(otherRegion, summary);
        router.updateRegions(List.copyOf(remote.values()), nowMillis);
    }

    /** Notices that the links to a region are down: what was forwarded there is lost. */
    void loses(int otherRegion, long nowMillis) {
        remote.remove(otherRegion);
        router.updateRegions(List.copyOf(remote.values()), nowMillis);
        List.copyOf(forwarded).forEach(call -> call.linkLost(otherRegion));
    }

    void forwards(Call call) {
        forwarded.add(call);
    }

    void forgets(Call call) {
        forwarded.remove(call);
    }
}
