package org.rattanplank.standins.http;

/** Answers calls. Called on the server's one thread only, so an implementation needs no lock. */
@FunctionalInterface
public interface Handler {

    /**
     * Takes a call, to answer it now or later on the same thread.
     *
     * @param exchange the call
     */
    void handle(Exchange exchange);
}
