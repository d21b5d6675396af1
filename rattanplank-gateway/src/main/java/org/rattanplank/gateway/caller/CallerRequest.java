package org.rattanplank.gateway.caller;

/** A caller's request in progress. Its methods are called on the event loop. */
public interface CallerRequest {
    /** Called when the caller closes its connection before the response is complete. */
    void callerDisconnected();
}
