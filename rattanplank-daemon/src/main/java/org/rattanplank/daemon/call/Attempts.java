package org.rattanplank.daemon.call;

import org.rattanplank.core.Action;

/** Carries out attempts at one kind of peer. Implementations are thread safe and never block. */
public interface Attempts {

    /**
     * Begins an attempt, which ends with one {@code AttemptEnded} event unless it is cancelled.
     *
     * @param call the call
     * @param start where to and with what
     * @param traceParent the trace context for the other side, or empty
     */
    void start(Call call, Action.StartAttempt start, String traceParent);

    /**
     * Gives an attempt up; nothing happens if it is not one of these.
     *
     * @param requestId the request
     * @param attempt the attempt
     */
    void cancel(String requestId, int attempt);
}
