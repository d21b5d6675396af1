package org.rattanplank.core;

import java.util.HashSet;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.Route;

/**
 * One request that has no outcome yet, or whose claimed call still runs.
 *
 * <p>Invariant: at most one attempt is current; its number only grows. Guarded by the request's lock in {@link
 * RequestFlow}.
 */
final class LiveRequest {
    final Request request;
    final Set<String> allowedRegions;
    final Set<String> tried = new HashSet<>();
    Option<ClaimKey> claim = Option.none();
    Option<Route> route = Option.none();
    int attempt;
    boolean resumed;
    boolean finished;
    boolean mayHaveRun;
    long callerParts;
    long attemptStartedMillis;

    LiveRequest(Request request, Set<String> allowedRegions) {
        this.request = request;
        this.allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Whether a call that may not be repeated runs under this request's claim. */
    boolean runsClaim() {
        return claim.isDefined() && route.isDefined();
    }
}
