package org.rattanplank.daemon.runtime;

import org.rattanplank.core.Event;

/** Where the parts of the daemon hand in what happened. Implementations are thread safe and never block. */
public interface Events {

    /**
     * Hands in an event that must not be lost.
     *
     * @param event the event
     */
    void raise(Event event);

    /**
     * Hands in new work, which may be refused when too many events wait.
     *
     * @param event the event
     * @return whether it was taken
     */
    boolean offer(Event event);
}
