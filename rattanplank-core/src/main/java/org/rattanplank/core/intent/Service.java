package org.rattanplank.core.intent;

import java.util.Objects;

/**
 * A service that callers may request. Immutable and thread safe.
 *
 * @param name the service's name
 * @param model whether its targets are model engines; otherwise they are plain services
 * @param wantedVersion the model version that targets should serve, empty for any
 * @param repeatable whether its calls may run more than once
 * @param checksFencing whether its targets reject an order with an outdated fencing number
 */
public record Service(String name, boolean model, String wantedVersion, boolean repeatable, boolean checksFencing) {
    public Service {
        Objects.requireNonNull(name, "name");
        wantedVersion = Objects.requireNonNullElse(wantedVersion, "");
    }
}
