package org.rattanplank.core;

import java.util.List;
import java.util.Set;

import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.core.route.TargetLoad;

/**
 * What a node knows, for operators. Immutable and thread safe.
 *
 * @param identity which node it is
 * @param generation the configuration generation in force
 * @param digest the digest of that generation
 * @param viewNumber the claim view that the node is in, or zero
 * @param inFlight requests without an outcome
 * @param draining whether the node takes no new work
 * @param targets the targets of its region that take work
 * @param loads what these targets said of themselves last
 * @param regions what it knows of the other regions
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
