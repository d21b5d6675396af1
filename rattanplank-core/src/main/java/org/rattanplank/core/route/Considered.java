package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects what was considered in one decision, for {@code explain}.
 *
 * <p>Invariant: it holds at most {@link #MAX_CANDIDATES} candidates, however many targets there are. Confined to the
 * router's lock.
 */
final class Considered {
    static final int MAX_CANDIDATES = 8;

    private final List<Candidate> candidates = new ArrayList<>(MAX_CANDIDATES);

    void add(String peer, String verdict, double score) {
        if (candidates.size() < MAX_CANDIDATES) {
            candidates.add(new Candidate(peer, verdict, score));
        }
    }

    List<Candidate> list() {
        return candidates;
    }
}
