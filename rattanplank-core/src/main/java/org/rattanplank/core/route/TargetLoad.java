package org.rattanplank.core.route;

import java.util.List;
import java.util.Objects;

/**
 * What a target says of itself; it lags behind. Immutable and thread safe.
 *
 * @param target the target's name
 * @param service the service that it runs
 * @param models the models and versions that it has loaded, such as {@code plank-7b@3}
 * @param running requests that run now
 * @param queued requests that wait
 * @param slots how many requests run at once without slowing each other much
 * @param tokensPerSecond its generation rate for one request at low load, zero for a plain service
 * @param cacheTokens how many prompt tokens its prefix cache holds at most
 * @param leaving whether it takes no new work
 * @param reportedAtMillis when it measured this, on this host's clock
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
