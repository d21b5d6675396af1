package org.rattanplank.daemon.runtime;

import org.rattanplank.core.Event;

/** Accepts events from the components of the daemon. Implementations are thread safe and never block. */
public interface EventSink {

    /**
     * Submits an event that must not be rejected.
     *
     * @param event the event
     */
    void raise(Event event);

    /**
     * Submits an event that starts new work and is rejected when too many events are queued.
     *
     * @param event the event
     * @return whether the event was accepted
     */
    boolean offer(Event event);
}
