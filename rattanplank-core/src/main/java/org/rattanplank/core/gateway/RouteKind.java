package org.rattanplank.core.gateway;

/** What a route's requests are, which decides what may be sent twice. Immutable and thread safe. */
public enum RouteKind {
    /** One answer; running it again does no harm. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    },
    /** One answer; it may run once at most. */
    UNSAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return false;
        }
    },
    /** A stream of events; only a resumable one may run again. */
    STREAM {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request may run more than once.
     *
     * @param resumable whether the route's streams may be resumed
     * @return whether a second run is allowed
     */
    public abstract boolean isIdempotent(boolean resumable);
}
