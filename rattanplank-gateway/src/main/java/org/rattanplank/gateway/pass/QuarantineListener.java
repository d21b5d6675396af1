package org.rattanplank.gateway.pass;

import org.rattanplank.core.quarantine.Fingerprint;

/** Is told of requests whose quarantine has begun or ended. Called on the event loop. */
public interface QuarantineListener {
    /** Ignores all changes. */
    QuarantineListener NONE = new QuarantineListener() {};

    /**
     * This host has quarantined a request, or has ended its quarantine.
     *
     * @param fingerprint the request
     */
    default void decided(Fingerprint fingerprint) {}

    /**
     * A request is quarantined with the evidence of another host.
     *
     * @param fingerprint the request
     */
    default void learned(Fingerprint fingerprint) {}
}
