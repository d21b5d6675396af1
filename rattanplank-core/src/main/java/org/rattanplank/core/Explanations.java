package org.rattanplank.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

import io.vavr.control.Option;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.RoutingDecision;

/**
 * Stores the explanations of the most recent requests.
 *
 * <p>Invariant: it holds at most {@link #CAPACITY} requests; the oldest are evicted first. Thread safe: one lock guards
 * all state, and no other lock is acquired while it is held.
 */
final class Explanations {
    private static final int CAPACITY = 500;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Explanation> explanationsByRequest = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Explanation> eldest) {
            return size() > CAPACITY;
        }
    };

    Option<Explanation> find(String requestId) {
        lock.lock();
        try {
            return Option.of(explanationsByRequest.get(requestId));
        } finally {
            lock.unlock();
        }
    }

    void recordDecision(Request request, RoutingDecision decision) {
        lock.lock();
        try {
            explanationsByRequest.put(request.id(), current(request).withDecision(decision));
        } finally {
            lock.unlock();
        }
    }

    void recordOutcome(Request request, Outcome outcome) {
        lock.lock();
        try {
            explanationsByRequest.put(request.id(), current(request).withOutcome(outcome.label()));
        } finally {
            lock.unlock();
        }
    }

    private Explanation current(Request request) {
        Explanation existing = explanationsByRequest.get(request.id());
        return existing != null ? existing : new Explanation(request.id(), request.service(), java.util.List.of(), "");
    }
}
