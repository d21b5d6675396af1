package org.rattanplank.core.intent;

import java.util.Objects;

/**
 * A service that callers may ask for. Immutable and thread safe.
 *
 * @param name the service's name
 * @param model whether its targets are model engines; otherwise they are plain services
 * @param wantedVersion the model with its version that targets are to serve, empty if it does not matter
 * @param repeatable whether its calls may run more than once
 * @param checksFencing whether its targets refuse an order with an old fencing number
 */
public record Service(String name, boolean model, String wantedVersion, boolean repeatable, boolean checksFencing) {
    public Service {
        Objects.requireNonNull(name, "name");
        wantedVersion = Objects.requireNonNullElse(wantedVersion, "");
    }
}
