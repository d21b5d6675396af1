package org.rattanplank.daemon.target;

import org.rattanplank.core.request.AttemptResult;

/** Receives the progress and the result of an attempt, on its event loop. */
interface AttemptListener {

    /**
     * Called when one more stream event was delivered to the requester.
     *
     * @param eventsDelivered the number of stream events delivered so far
     */
    void progressed(long eventsDelivered);

    /** Called when the headers of the response say that the target leaves. */
    void targetLeaving();

    /**
     * Called when the headers of the response say that the target wants nothing from this host for some time.
     *
     * @param millis the time
     */
    void pauseRequested(long millis);

    /**
     * Called when the attempt has ended; no call follows.
     *
     * @param result the result
     */
    void ended(AttemptResult result);
}
