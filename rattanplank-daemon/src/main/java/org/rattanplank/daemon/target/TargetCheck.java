package org.rattanplank.daemon.target;

import java.util.concurrent.CompletableFuture;

/** Checks whether a target responds on a new connection. Implementations are thread safe and never block. */
@FunctionalInterface
interface TargetCheck {

    /**
     * Makes a cheap call to a target on a new connection.
     *
     * @param target the target
     * @return whether the target responded
     */
    CompletableFuture<Boolean> respondsOnNewConnection(String target);
}
