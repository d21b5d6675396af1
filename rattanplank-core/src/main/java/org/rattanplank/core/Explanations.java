package org.rattanplank.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

import io.vavr.control.Option;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.Routing;

/**
 * Keeps why the newest requests went where they went.
 *
 * <p>Invariant: it holds at most a fixed number of requests; the oldest go first. Thread safe; one lock guards all
 * state, and no other lock is taken while it is held.
 */
final class Explanations {
    private static final int CAPACITY = 500;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Explanation> explanations = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Explanation> eldest) {
            return size() > CAPACITY;
        }
    };

    Option<Explanation> find(String requestId) {
        lock.lock();
        try {
            return Option.of(explanations.get(requestId));
        } finally {
            lock.unlock();
        }
    }

    void routed(Request request, Routing routing) {
        lock.lock();
        try {
            explanations.put(request.id(), current(request).withRouting(routing));
        } finally {
            lock.unlock();
        }
    }

    void ended(Request request, Outcome outcome) {
        lock.lock();
        try {
            explanations.put(request.id(), current(request).withOutcome(outcome.label()));
        } finally {
            lock.unlock();
        }
    }

    private Explanation current(Request request) {
        Explanation known = explanations.get(request.id());
        return known != null ? known : new Explanation(request.id(), request.service(), java.util.List.of(), "");
    }
}
