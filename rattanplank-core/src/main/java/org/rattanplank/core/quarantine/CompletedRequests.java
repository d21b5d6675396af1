package org.rattanplank.core.quarantine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vavr.Lazy;

/**
 * The requests that targets have completed last. A request that is sent often, always with the same body, is in flight at
 * every crash; those that targets complete are not the cause.
 *
 * <p>Invariant: adding a request computes no fingerprint. Confined to its owner's thread.
 */
public final class CompletedRequests {
    private static final int MAX_REQUESTS = 128;

    private final Deque<Lazy<Fingerprint>> newest = new ArrayDeque<>();

    private CompletedRequests() {}

    /**
     * Creates an empty memory.
     *
     * @return the memory
     */
    public static CompletedRequests empty() {
        return new CompletedRequests();
    }

    /**
     * Adds a request that a target has completed.
     *
     * @param fingerprint the request
     */
    public void add(Lazy<Fingerprint> fingerprint) {
        newest.addLast(fingerprint);
        if (newest.size() > MAX_REQUESTS) {
            newest.removeFirst();
        }
    }

    /**
     * Returns the requests.
     *
     * @return their fingerprints, which are computed now
     */
    public Set<Fingerprint> fingerprints() {
        Set<Fingerprint> fingerprints = new HashSet<>();
        newest.forEach(each -> fingerprints.add(each.get()));
        return fingerprints;
    }

    /**
     * Returns the suspects that are not the cause of their crashes.
     *
     * @param evidence the evidence against them
     * @return those of the completed requests that it suspects
     */
    public Set<Fingerprint> among(List<CrashEvidence> evidence) {
        Set<Fingerprint> suspects = new HashSet<>();
        for (CrashEvidence each : evidence) {
            if (!each.cleared()) {
                suspects.add(each.fingerprint());
            }
        }
        if (!suspects.isEmpty()) {
            suspects.retainAll(fingerprints());
        }
        return suspects;
    }
}
