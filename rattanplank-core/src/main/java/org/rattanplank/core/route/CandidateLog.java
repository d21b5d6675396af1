package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the candidates of one routing decision for {@code explain}.
 *
 * <p>Invariant: it holds at most {@link #MAX_CANDIDATES} candidates, however many targets there are. Guarded by the
 * router's lock.
 */
final class CandidateLog {
    static final int MAX_CANDIDATES = 8;

    private final List<Candidate> candidates = new ArrayList<>(MAX_CANDIDATES);

    void add(String peer, String verdict, double score) {
        if (candidates.size() < MAX_CANDIDATES) {
            candidates.add(new Candidate(peer, verdict, score));
        }
    }

    List<Candidate> candidates() {
        return candidates;
    }
}
