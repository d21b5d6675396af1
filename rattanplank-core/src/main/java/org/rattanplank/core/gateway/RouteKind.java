package org.rattanplank.core.gateway;

/** The kind of a route's requests, which decides whether they may be sent twice. Immutable and thread safe. */
public enum RouteKind {
    /** A single answer; running the request again does no harm. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }

        @Override
        public boolean isInterruptible() {
            return true;
        }
    },
    /** A single answer; the request may run at most once. */
    UNSAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return false;
        }

        @Override
        public boolean isInterruptible() {
            return false;
        }
    },
    /** A stream of events; only a resumable one may run again. */
    STREAM {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean isInterruptible() {
            return false;
        }
    };

    /**
     * Returns whether a request may run more than once.
     *
     * @param resumable whether the route's streams may be resumed
     * @return whether a second run is allowed
     */
    public abstract boolean isIdempotent(boolean resumable);

    /**
     * Returns whether a request in progress may be answered with a failure, after which its caller may send it again,
     * as long as no part of its response was sent. A stream that has begun can only be cut.
     *
     * @return whether a request may be interrupted
     */
    public abstract boolean isInterruptible();
}
