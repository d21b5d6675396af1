package org.rattanplank.daemon.peer;

import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.RequestMessage;

/** Receives the events of the links that this host opens, on their event loops. */
interface LinkListener {

    /**
     * Called when a link is established.
     *
     * @param hello the hello of the other host
     */
    void connected(Hello hello);

    /**
     * Called when a link was disconnected or could not be established.
     *
     * @param host the other host
     * @param connectionRefused whether its address refused the connection
     */
    void disconnected(String host, boolean connectionRefused);

    /**
     * Called when a message of a response to a forwarded request is received.
     *
     * @param host the other host
     * @param message the headers, a chunk or the end of the response
     */
    void responseReceived(String host, RequestMessage message);
}
