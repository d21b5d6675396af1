package org.rattanplank.core.route;

import java.util.List;
import java.util.Objects;

/**
 * A target's load report; it lags behind the target's state. Immutable and thread safe.
 *
 * @param target the target's name
 * @param service the service that the target runs
 * @param models the models and versions that it has loaded, such as {@code plank-7b@3}
 * @param running the number of running requests
 * @param queued the number of queued requests
 * @param slots the number of requests that run concurrently without slowing each other much
 * @param tokensPerSecond the decode rate of one request at low load, zero for a plain service
 * @param cacheTokens the capacity of the prefix cache in prompt tokens
 * @param leaving whether the target is leaving and accepts no new requests
 * @param reportedAtMillis when the load was measured, on this host's clock
 */
public record TargetLoad(
        String target,
        String service,
        List<String> models,
        int running,
        int queued,
        int slots,
        double tokensPerSecond,
        long cacheTokens,
        boolean leaving,
        long reportedAtMillis) {
    public TargetLoad {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(service, "service");
        models = List.copyOf(models);
    }
}
