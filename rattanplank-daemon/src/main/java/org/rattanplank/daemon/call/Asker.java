package org.rattanplank.daemon.call;

import java.util.List;

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
     * @param path the hosts and the target that it took behind this host
     */
    void part(long number, byte[] part, List<String> path);

    /**
     * Gives the only outcome.
     *
     * @param outcome the outcome
     */
    void finish(Outcome outcome);
}
