package org.rattanplank.daemon.call;

import org.rattanplank.core.request.Outcome;

/**
 * Whoever asked: a caller, or the entry host that forwarded. Implementations never block; {@link Call} calls them one
 * at a time.
 */
public interface Asker {

    /**
     * Passes on a part of a streamed answer.
     *
     * @param number the part's number, from zero without gaps
     * @param part one server-sent event
     * @param peer the target or host that sent it
     */
    void part(long number, byte[] part, String peer);

    /**
     * Gives the only outcome.
     *
     * @param outcome the outcome
     */
    void finish(Outcome outcome);
}
