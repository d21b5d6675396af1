package org.rattanplank.core;

import java.util.HashSet;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.Route;

/**
 * The state of a request that has no outcome yet, or whose claimed call is still running.
 *
 * <p>Invariant: at most one attempt is current; attempt numbers only increase. Guarded by the request's lock in {@link
 * RequestFlow}.
 */
final class InFlightRequest {
    final Request request;
    final Set<String> allowedRegions;
    final Set<String> triedPeers = new HashSet<>();
    Option<ClaimKey> claim = Option.none();
    Option<Route> route = Option.none();
    int attempt;
    boolean resumed;
    boolean finished;
    boolean mayHaveRun;
    long deliveredStreamEvents;
    long attemptStartedMillis;

    InFlightRequest(Request request, Set<String> allowedRegions) {
        this.request = request;
        this.allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Returns whether a call that is not safe to retry is running under this request's claim. */
    boolean runsClaim() {
        return claim.isDefined() && route.isDefined();
    }
}
