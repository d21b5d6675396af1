package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * The configuration of a service. Immutable and thread safe.
 *
 * @param name its name
 * @param maxConnections the connections that one of its targets accepts from all hosts together
 * @param coldStartMillis how long a target is cold after its start
 * @param coldRequestsPerSecond the requests a second that a cold target sustains
 * @param slots the requests that one target processes concurrently; zero if not configured
 * @param eventTokens the tokens in one event of a stream; zero if not configured
 * @param kvCacheTokens the capacity of one engine's KV cache, in tokens; zero if it is no model engine
 * @param supportsBackups whether an engine can send the KV cache of a running stream to another engine as it grows
 */
public record ServiceRule(
        String name,
        int maxConnections,
        long coldStartMillis,
        double coldRequestsPerSecond,
        int slots,
        int eventTokens,
        long kvCacheTokens,
        boolean supportsBackups) {
    public ServiceRule {
        Objects.requireNonNull(name, "name");
    }

    /**
     * Returns whether the targets are model engines.
     *
     * @return whether they are
     */
    public boolean isModel() {
        return kvCacheTokens > 0;
    }
}
