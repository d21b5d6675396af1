package org.rattanplank.gateway.caller;

/** A caller's request in progress. Its methods are called on the event loop. */
public interface CallerRequest {
    /**
     * Called when the caller's connection is closed before the response is complete.
     *
     * @param reason why it is closed
     */
    void callerDisconnected(String reason);
}
