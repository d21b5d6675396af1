package org.rattanplank.daemon.call;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.rattanplank.core.request.Outcome;

/**
 * Table of the requests in flight.
 *
 * <p>Invariant: there is at most one call per request identifier. The table does not reject a call when it is full:
 * callers of {@link #add} check {@link #isFull} first. Thread safe without locks.
 */
public final class Calls {
    private final Map<String, Call> calls = new ConcurrentHashMap<>();
    private final int maxCalls;

    private Calls(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /**
     * Creates an empty table.
     *
     * @param maxCalls the maximum number of requests in flight
     * @return the table
     */
    public static Calls of(int maxCalls) {
        return new Calls(maxCalls);
    }

    /**
     * Returns the call of a request.
     *
     * @param requestId the request's identifier
     * @return the call, or none if the request is not in flight
     */
    public Option<Call> find(String requestId) {
        return Option.of(calls.get(requestId));
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests
     */
    public int size() {
        return calls.size();
    }

    /**
     * Returns the identifiers of the requests in flight.
     *
     * @return the identifiers
     */
    public Set<String> requestIds() {
        return Set.copyOf(calls.keySet());
    }

    /**
     * Returns whether the maximum number of requests is in flight.
     *
     * @return whether the table is full
     */
    public boolean isFull() {
        return calls.size() >= maxCalls;
    }

    /**
     * Adds a call unless its request identifier is in use.
     *
     * @param call the call
     * @return whether the call was added
     */
    public boolean add(Call call) {
        return calls.putIfAbsent(call.request().id(), call) == null;
    }

    /**
     * Removes a call without an outcome, as its requester no longer waits.
     *
     * @param requestId the request's identifier
     */
    public void remove(String requestId) {
        calls.remove(requestId);
    }

    /**
     * Removes a call and delivers its outcome.
     *
     * @param requestId the request's identifier
     * @param outcome the outcome
     */
    public void finish(String requestId, Outcome outcome) {
        Option.of(calls.remove(requestId)).forEach(call -> call.finish(outcome));
    }
}
