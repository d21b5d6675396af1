package org.rattanplank.standins.http;

/** Handles calls. Invoked on the server's single thread only, so an implementation needs no lock. */
@FunctionalInterface
public interface Handler {

    /**
     * Handles a call; the response may be sent now or later on the same thread.
     *
     * @param exchange the call
     */
    void handle(Exchange exchange);
}
