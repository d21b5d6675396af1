package org.rattanplank.daemon.caller;

import java.util.Objects;

import org.rattanplank.core.request.Request;
import org.rattanplank.daemon.call.Envelope;

/**
 * A valid request of a caller. Immutable and thread safe.
 *
 * @param request the request for the core
 * @param envelope the data that the core does not use
 */
record ParsedRequest(Request request, Envelope envelope) {
    ParsedRequest {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(envelope, "envelope");
    }
}
