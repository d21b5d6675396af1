package org.rattanplank.core.route;

import java.util.Objects;

/** The destination of one attempt. Immutable and thread safe. */
public sealed interface Route {

    /**
     * Returns the name of the destination.
     *
     * @return the name of the target or host
     */
    String peer();

    /**
     * A target of this region.
     *
     * @param target the target's name
     */
    record ToTarget(String target) implements Route {
        public ToTarget {
            Objects.requireNonNull(target, "target");
        }

        @Override
        public String peer() {
            return target;
        }
    }

    /**
     * Another entry host, which serves the request in its own region or answers that it was not run.
     *
     * @param host the entry host's name
     * @param region the host's region
     */
    record ToHost(String host, String region) implements Route {
        public ToHost {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(region, "region");
        }

        @Override
        public String peer() {
            return host;
        }
    }
}
