package org.rattanplank.daemon.caller;

import java.util.Objects;

import org.rattanplank.core.request.Request;
import org.rattanplank.daemon.call.Envelope;

/**
 * A sound request. Immutable and thread safe.
 *
 * @param request what the core sees
 * @param envelope the rest
 */
record Asked(Request request, Envelope envelope) {
    Asked {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(envelope, "envelope");
    }
}
