package org.rattanplank.daemon.call;

import java.util.List;

import org.rattanplank.core.request.Outcome;

/**
 * Receives the response of a request: a caller, or the entry host that forwarded the request. Implementations never
 * block; {@link Call} serializes the calls.
 */
public interface Requester {

    /**
     * Delivers an event of a streamed response.
     *
     * @param number the event's sequence number, from zero without gaps
     * @param event one encoded server-sent event
     * @param path the hosts and the target behind this host that the event passed through
     */
    void streamEvent(long number, byte[] event, List<String> path);

    /**
     * Delivers the outcome; called at most once.
     *
     * @param outcome the outcome
     */
    void finish(Outcome outcome);
}
