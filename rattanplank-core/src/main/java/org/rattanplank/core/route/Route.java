package org.rattanplank.core.route;

import java.util.Objects;

/** Where one attempt goes. Immutable and thread safe. */
public sealed interface Route {

    /**
     * The name of the other side.
     *
     * @return the target's or the host's name
     */
    String peer();

    /**
     * To a target of this data centre or region.
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
     * To another entry host, which serves it in its own region or answers not run.
     *
     * @param host the entry host's name
     * @param region the region that it stands in
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
