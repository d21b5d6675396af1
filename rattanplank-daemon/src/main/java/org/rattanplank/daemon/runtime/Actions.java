package org.rattanplank.daemon.runtime;

import org.rattanplank.core.Action;

/** Carries out what the core decided. Implementations are thread safe and never block for long. */
@FunctionalInterface
public interface Actions {

    /**
     * Carries out an action, or begins to.
     *
     * @param action the action
     */
    void carryOut(Action action);
}
