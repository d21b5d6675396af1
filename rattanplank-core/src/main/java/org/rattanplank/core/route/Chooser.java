package org.rattanplank.core.route;

import org.rattanplank.core.request.Request;

/** A way to choose where an attempt goes; it sees only what is eligible. Confined to the router's lock. */
interface Chooser {

    /**
     * Chooses where an attempt goes.
     *
     * @param request the request
     * @param eligibility where it may go at all
     * @param nowMillis the time
     * @return the decision
     */
    Routing choose(Request request, Eligibility eligibility, long nowMillis);
}
