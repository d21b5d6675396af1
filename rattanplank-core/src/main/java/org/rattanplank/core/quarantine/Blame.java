package org.rattanplank.core.quarantine;

import java.util.HashSet;
import java.util.Set;

/**
 * What is to blame for crashes of targets. Immutable and thread safe.
 *
 * @param requests the requests
 * @param partGroups the prompt parts, in groups that no crash tells apart: a request is to blame if it has all parts of one
 */
record Blame(Set<Fingerprint> requests, Set<Set<Fingerprint>> partGroups) {
    static final Blame NONE = new Blame(Set.of(), Set.of());

    Blame {
        requests = Set.copyOf(requests);
        partGroups = Set.copyOf(partGroups);
    }

    /** Returns the requests and all parts of groups. */
    Set<Fingerprint> suspects() {
        Set<Fingerprint> suspects = new HashSet<>(requests);
        partGroups.forEach(suspects::addAll);
        return suspects;
    }

    /** Returns the parts of all groups that a part belongs to. */
    Set<Fingerprint> groupOf(Fingerprint part) {
        Set<Fingerprint> parts = new HashSet<>();
        for (Set<Fingerprint> group : partGroups) {
            if (group.contains(part)) {
                parts.addAll(group);
            }
        }
        return parts;
    }
}
