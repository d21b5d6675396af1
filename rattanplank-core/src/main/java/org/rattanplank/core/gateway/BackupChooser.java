package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;

/**
 * Chooses the engine that holds the backup of a stream.
 *
 * <p>Invariant: it is another engine than the stream's own, may be used, is warm and has memory for the whole stream;
 * it is in another data centre if one of that kind is there. Confined to its owner's thread.
 */
final class BackupChooser {
    private final TargetPool pool;
    private final RandomGenerator random;

    BackupChooser(TargetPool pool, RandomGenerator random) {
        this.pool = pool;
        this.random = random;
    }

    /**
     * Chooses an engine.
     *
     * @param primary the engine of the stream
     * @param service its service
     * @param work the work of the stream
     * @param nowMillis the time
     * @return the engine, or none if no other one has room
     */
    Option<GatewayTarget> choose(GatewayTarget primary, ServiceRule service, Work work, long nowMillis) {
        List<GatewayTarget> elsewhere = new ArrayList<>();
        List<GatewayTarget> sameDataCentre = new ArrayList<>();
        for (GatewayTarget target : pool.all()) {
            if (target == primary || !hasRoom(target, service, work, nowMillis)) {
                continue;
            }
            boolean shared = target.entry().dataCentre().equals(primary.entry().dataCentre());
            (shared ? sameDataCentre : elsewhere).add(target);
        }
        return leastLoadedOfTwo(elsewhere.isEmpty() ? sameDataCentre : elsewhere);
    }

    private boolean hasRoom(GatewayTarget target, ServiceRule service, Work work, long nowMillis) {
        return target.entry().service().equals(service.name())
                && pool.mayContinue(target, nowMillis)
                && target.isHealthy(nowMillis)
                && target.totalWork().requests() < target.slots()
                && target.kvCacheShortfallTokens(work.totalTokens(), service.kvCacheTokens()) <= 0;
    }

    /**
     * Returns the less loaded of two random engines. Hosts with the same view would all choose the least loaded one,
     * and all streams of a failed engine would continue there.
     */
    private Option<GatewayTarget> leastLoadedOfTwo(List<GatewayTarget> candidates) {
        if (candidates.isEmpty()) {
            return Option.none();
        }
        GatewayTarget one = candidates.get(random.nextInt(candidates.size()));
        GatewayTarget other = candidates.get(random.nextInt(candidates.size()));
        return Option.some(one.totalWork().kvCacheTokens() <= other.totalWork().kvCacheTokens() ? one : other);
    }
}
