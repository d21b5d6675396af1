package org.rattanplank.gateway.caller;

/** A caller's request under way. Called on the event loop. */
public interface CallerCall {
    /** The caller closed its connection before it had its whole answer. */
    void callerLeft();
}
