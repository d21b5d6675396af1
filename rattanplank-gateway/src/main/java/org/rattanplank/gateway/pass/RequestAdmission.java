package org.rattanplank.gateway.pass;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.RequestDuration;

/** Decides which requests may start on this host. Confined to the event loop. */
public interface RequestAdmission {
    /** The admission of a host that is not stopping. Immutable and thread safe. */
    RequestAdmission OPEN = new RequestAdmission() {
        @Override
        public boolean mayStart(RequestDuration duration) {
            return true;
        }

        @Override
        public boolean mayInterrupt(RequestDuration duration) {
            return false;
        }

        @Override
        public Option<Long> stoppingMillis() {
            return Option.none();
        }

        @Override
        public long unavailableMillis() {
            return 0;
        }
    };

    /**
     * Returns whether a request may start.
     *
     * @param duration how long it may take
     * @return whether it may
     */
    boolean mayStart(RequestDuration duration);

    /**
     * Returns whether a request that starts may have to be interrupted when this host terminates.
     *
     * @param duration how long it may take
     * @return whether its response must stay replaceable by a failure until it is complete
     */
    boolean mayInterrupt(RequestDuration duration);

    /**
     * Returns how long this host has been stopping.
     *
     * @return milliseconds since the stop was requested, or none if it is not stopping
     */
    Option<Long> stoppingMillis();

    /**
     * Returns how long no host of this region is expected to accept all requests.
     *
     * @return milliseconds, zero if one does
     */
    long unavailableMillis();
}
