package org.rattanplank.daemon.target;

import java.util.concurrent.CompletableFuture;

/** Checks whether a target responds on a new connection. Implementations are thread safe and never block. */
interface TargetCheck {

    /**
     * Makes a cheap call to a target on a new connection.
     *
     * @param target the target
     * @return whether the target responded
     */
    CompletableFuture<Boolean> respondsOnNewConnection(String target);

    /**
     * Opens a new connection to a target whose connection has ended during a request.
     *
     * @param target the target
     * @return whether no connection could be established, so that the target has crashed
     */
    CompletableFuture<Boolean> refusesConnections(String target);
}
