package org.rattanplank.daemon.target;

import java.util.concurrent.CompletableFuture;

/** Tells whether a target answers on a new connection. Implementations are thread safe and never block. */
@FunctionalInterface
interface TargetCheck {

    /**
     * Makes a cheap call on a new connection.
     *
     * @param target the target
     * @return whether it was answered
     */
    CompletableFuture<Boolean> answersAnew(String target);
}
