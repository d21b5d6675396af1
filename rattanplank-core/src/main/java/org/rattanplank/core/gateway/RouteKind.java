package org.rattanplank.core.gateway;

/** The kind of a route's requests, which decides whether they may be sent twice. Immutable and thread safe. */
public enum RouteKind {
    /** A single answer; running the request again does no harm. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    },
    /** A single answer; the request may run at most once. */
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
     * Returns whether a request may run more than once.
     *
     * @param resumable whether the route's streams may be resumed
     * @return whether a second run is allowed
     */
    public abstract boolean isIdempotent(boolean resumable);
}
