package org.rattanplank.core.route;

import org.rattanplank.core.request.Request;

/** Chooses the destination of an attempt among the eligible targets and regions. Guarded by the router's lock. */
interface Chooser {

    /**
     * Chooses the destination of an attempt.
     *
     * @param request the request
     * @param eligibility the regions and peers that may serve the request
     * @param nowMillis the time
     * @return the decision
     */
    RoutingDecision choose(Request request, Eligibility eligibility, long nowMillis);
}
