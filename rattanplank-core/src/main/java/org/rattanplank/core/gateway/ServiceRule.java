package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What is configured of a service. Immutable and thread safe.
 *
 * @param name its name
 * @param maxConnections the connections that one of its targets accepts from all hosts together
 * @param coldStartMillis how long a target is cold after its start
 * @param coldPerSecond the requests a second that a cold target bears
 * @param slots the requests that one target works on at once; zero if not configured
 * @param eventTokens the tokens that one event of a stream holds; zero if not configured
 * @param memoryTokens the tokens that one engine's memory holds; zero if it is no model engine
 */
public record ServiceRule(
        String name,
        int maxConnections,
        long coldStartMillis,
        double coldPerSecond,
        int slots,
        int eventTokens,
        long memoryTokens) {
    public ServiceRule {
        Objects.requireNonNull(name, "name");
    }

    /**
     * Tells whether the targets are model engines.
     *
     * @return whether they are
     */
    public boolean isModel() {
        return memoryTokens > 0;
    }
}
