package org.rattanplank.daemon.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.rattanplank.core.request.Outcome;

/**
 * The requests in flight.
 *
 * <p>Invariant: at most the given number, and at most one under an identifier. Thread safe without a lock of its own.
 */
public final class Calls {
    private final Map<String, Call> calls = new ConcurrentHashMap<>();
    private final int maxCalls;

    private Calls(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /**
     * Makes an empty table.
     *
     * @param maxCalls how many requests may be in flight
     * @return the table
     */
    public static Calls of(int maxCalls) {
        return new Calls(maxCalls);
    }

    /**
     * Finds a call.
     *
     * @param requestId the request
     * @return the call, or none once it has its outcome
     */
    public Option<Call> find(String requestId) {
        return Option.of(calls.get(requestId));
    }

    /**
     * Counts the requests in flight.
     *
     * @return the number
     */
    public int size() {
        return calls.size();
    }

    /**
     * Tells whether no more requests are taken.
     *
     * @return whether the table is full
     */
    public boolean isFull() {
        return calls.size() >= maxCalls;
    }

    /**
     * Adds a call.
     *
     * @param call the call
     * @return whether its identifier was free
     */
    public boolean add(Call call) {
        return calls.putIfAbsent(call.request().id(), call) == null;
    }

    /**
     * Takes a call out; whoever asked no longer waits.
     *
     * @param requestId the request
     */
    public void remove(String requestId) {
        calls.remove(requestId);
    }

    /**
     * Gives a request its outcome and takes it out.
     *
     * @param requestId the request
     * @param outcome the outcome
     */
    public void finish(String requestId, Outcome outcome) {
        Option.of(calls.remove(requestId)).forEach(call -> call.finish(outcome));
    }
}
