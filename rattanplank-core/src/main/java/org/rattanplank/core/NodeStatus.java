package org.rattanplank.core;

import java.util.List;
import java.util.Set;

import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.core.route.TargetLoad;

/**
 * A summary of a node's state for operators. Immutable and thread safe.
 *
 * @param identity the node's identity
 * @param generation the configuration generation in force
 * @param digest the digest of that generation
 * @param viewNumber the number of the claim view that the node is a member of, or zero
 * @param inFlight the number of requests in flight
 * @param draining whether the node accepts no new requests
 * @param targets the targets of the node's region that accept requests
 * @param loads the last load reports of these targets
 * @param regions the last known state of the other regions
 * @param leaving the hosts and targets that are leaving
 */
public record NodeStatus(
        NodeIdentity identity,
        long generation,
        String digest,
        long viewNumber,
        int inFlight,
        boolean draining,
        List<ListedHost> targets,
        List<TargetLoad> loads,
        List<RemoteRegion> regions,
        Set<String> leaving) {
    public NodeStatus {
        targets = List.copyOf(targets);
        loads = List.copyOf(loads);
        regions = List.copyOf(regions);
        leaving = Set.copyOf(leaving);
    }
}
