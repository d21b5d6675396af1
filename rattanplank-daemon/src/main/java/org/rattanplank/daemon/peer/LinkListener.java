package org.rattanplank.daemon.peer;

import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.RequestMessage;

/** Hears what happens on the links that this host dialled, on their event loops. */
interface LinkListener {

    /**
     * A link is up.
     *
     * @param hello who answered
     */
    void connected(Hello hello);

    /**
     * A link broke, or could not be made.
     *
     * @param host the other host
     * @param refused whether its address refused the connection
     */
    void lost(String host, boolean refused);

    /**
     * An answer to a forwarded request came.
     *
     * @param host the other host
     * @param message the answer or a part of it
     */
    void answered(String host, RequestMessage message);
}
