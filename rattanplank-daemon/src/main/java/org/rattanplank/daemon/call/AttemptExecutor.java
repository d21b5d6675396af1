package org.rattanplank.daemon.call;

import org.rattanplank.core.Action;

/** Executes attempts at one kind of peer. Implementations are thread safe and never block. */
public interface AttemptExecutor {

    /**
     * Starts an attempt, which ends with one {@code AttemptEnded} event unless it is cancelled.
     *
     * @param call the call
     * @param start the route and the request of the attempt
     * @param traceParent the trace context to propagate, or empty
     */
    void start(Call call, Action.StartAttempt start, String traceParent);

    /**
     * Cancels an attempt; has no effect if this executor does not run it.
     *
     * @param requestId the request's identifier
     * @param attempt the attempt's number
     */
    void cancel(String requestId, int attempt);
}
