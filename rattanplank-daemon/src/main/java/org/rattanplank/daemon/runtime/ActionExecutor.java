package org.rattanplank.daemon.runtime;

import org.rattanplank.core.Action;

/** Executes the actions that the core returns. Implementations are thread safe and never block for long. */
@FunctionalInterface
public interface ActionExecutor {

    /**
     * Executes an action, or starts executing it asynchronously.
     *
     * @param action the action
     */
    void execute(Action action);
}
