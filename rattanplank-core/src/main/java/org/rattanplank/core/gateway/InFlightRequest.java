package org.rattanplank.core.gateway;

/**
 * A request in flight at a target, accounted for from its sending to its end.
 *
 * <p>Invariant: what it reserves at the target is released once. Confined to its owner's thread.
 */
public final class InFlightRequest {
    /**
     * Fraction of its time that a stream should not need: its last events and the network round trip take some of it.
     */
    private static final double RESERVED_TIME_FRACTION = 0.25;

    /** A stream that exceeds its caller's estimate is assumed to go on for this fraction of what it has generated. */
    private static final double RESIDUAL_FRACTION = 0.35;

    /** Fraction of the current inter-token latency that an engine may still reach at its best. */
    private static final double BEST_INTER_TOKEN_FRACTION = 0.4;

    /** A prefill that takes longer changes where other hosts should send theirs before the next regular report. */
    private static final double LARGE_PREFILL_MILLIS = 50;

    private final GatewayTarget target;
    private final boolean failover;
    private final ServiceRule service;
    private final LatencyModel model;
    private final Work work;
    private final long sentAtMillis;
    private final int requestsAhead;
    private final double prefillMillis;
    private final double expectedTokens;
    private final double expectedCapacityWaitMillis;
    private InFlightWork reserved;
    private boolean started;
    private long startedAtMillis;
    private long lastEventAtMillis;
    private int events;
    private boolean released;

    private InFlightRequest(
            TargetChooser chooser,
            GatewayTarget target,
            int prefillTokens,
            boolean failover,
            ServiceRule service,
            Work work,
            long nowMillis) {
        this.target = target;
        this.failover = failover;
        this.service = service;
        this.work = work;
        model = chooser.latencyModel(service.name());
        sentAtMillis = nowMillis;
        requestsAhead = target.totalWork().requests();
        prefillMillis = service.isModel() ? prefillTokens * model.prefillMillisPerToken(nowMillis) : 0;
        if (service.isModel() && !failover) {
            model.recordPromptSent(prefillTokens, work.urgency());
        }
        expectedTokens = target.totalWork().prefillBacklog().ahead(work.urgency()) + (double) prefillTokens;
        expectedCapacityWaitMillis = service.isModel() ? chooser.capacityWaitMillis(target, service, work) : 0;
        reserved = target.reserve(work, prefillTokens, service.kvCacheTokens(), nowMillis);
    }

    /**
     * Records a request that is sent.
     *
     * @param chooser the chooser of its target
     * @param choice its target, with the estimate there
     * @param service the service of the target
     * @param work the work of the request
     * @param nowMillis the time
     * @return the request in flight
     */
    public static InFlightRequest of(
            TargetChooser chooser, TargetChoice choice, ServiceRule service, Work work, long nowMillis) {
        return new InFlightRequest(chooser, choice.target(), choice.prefillTokens(), false, service, work, nowMillis);
    }

    /**
     * Records a stream that continues at its backup. The engine admits it first and prefills next to nothing, so its
     * latencies say nothing about other requests.
     *
     * @param chooser the chooser of its targets
     * @param backup the target that holds the backup
     * @param service the service of the target
     * @param work the work that is left
     * @param nowMillis the time
     * @return the request in flight
     */
    public static InFlightRequest ofFailover(
            TargetChooser chooser, GatewayTarget backup, ServiceRule service, Work work, long nowMillis) {
        return new InFlightRequest(chooser, backup, 0, true, service, work, nowMillis);
    }

    /**
     * Returns whether the region's other hosts should be notified of it at once.
     *
     * @return whether its prompt takes long to prefill
     */
    public boolean isLargePrefill() {
        return prefillMillis >= LARGE_PREFILL_MILLIS;
    }

    /**
     * Records an event of its answer.
     *
     * @param success whether it belongs to a successful answer
     * @param nowMillis the time
     */
    public void recordEvent(boolean success, long nowMillis) {
        if (started && service.isModel()) {
            target.recordEventInterval(nowMillis - (double) lastEventAtMillis, nowMillis);
        }
        lastEventAtMillis = nowMillis;
        events++;
        if (started || released) {
            return;
        }
        started = true;
        reserved = target.prefillCompleted(reserved);
        if (success && service.isModel()) {
            startedAtMillis = nowMillis;
            target.streams().add(this);
        }
        if (success && service.isModel() && !failover) {
            model.recordFirstEvent(
                    expectedTokens, work.urgency(), nowMillis - sentAtMillis - expectedCapacityWaitMillis, nowMillis);
        }
    }

    /**
     * Records the end of its answer.
     *
     * @param success whether the answer is successful
     * @param nowMillis the time
     */
    public void recordEnd(boolean success, long nowMillis) {
        if (success && service.isModel() && !failover) {
            model.recordDecode(nowMillis - (double) startedAtMillis);
        } else if (success && !service.isModel()) {
            model.recordAnswer(requestsAhead, target.slots(), nowMillis - (double) sentAtMillis);
        }
        release();
    }

    /**
     * Returns whether it would end too late at an inter-token latency, though not at the best that the engine may
     * reach.
     */
    boolean isLagging(double interTokenMillis, long nowMillis) {
        if (service.eventTokens() <= 0 || work.remainingMillis() <= 0) {
            return false;
        }
        double expectedEvents = work.outputTokens() / (double) service.eventTokens();
        double neededMillis =
                interTokenMillis * Math.max(1, Math.max(expectedEvents - events, RESIDUAL_FRACTION * events));
        double remainingMillis = sentAtMillis + (1 - RESERVED_TIME_FRACTION) * work.remainingMillis() - nowMillis;
        return neededMillis > remainingMillis && BEST_INTER_TOKEN_FRACTION * neededMillis < remainingMillis;
    }

    /** Releases what it has reserved at its target, once. */
    public void release() {
        if (!released) {
            released = true;
            target.streams().remove(this);
            target.release(reserved);
        }
    }
}
