package org.rattanplank.core.gateway;

import io.vavr.control.Option;

/**
 * The backup of one running stream: a second engine that receives the stream's KV cache as it grows, and continues the
 * stream if the first engine fails.
 *
 * <p>Invariants: a stream fails over at most once; the memory reserved at the second engine is released once. Confined
 * to its owner's thread.
 */
public final class StreamBackup {
    private final GatewayTarget primary;
    private final GatewayTarget target;
    private final TargetPool pool;
    private InFlightWork reserved;
    private boolean failedOver;

    private StreamBackup(GatewayTarget primary, GatewayTarget target, TargetPool pool, long kvCacheTokens) {
        this.primary = primary;
        this.target = target;
        this.pool = pool;
        reserved = target.reserveBackup(kvCacheTokens);
    }

    static StreamBackup reserve(GatewayTarget primary, GatewayTarget target, TargetPool pool, long kvCacheTokens) {
        return new StreamBackup(primary, target, pool, kvCacheTokens);
    }

    /**
     * Returns the engine that holds the backup.
     *
     * @return the engine
     */
    public GatewayTarget target() {
        return target;
    }

    /**
     * Returns whether the stream should fail over because its engine is unresponsive. Before the first event, silence
     * may mean that the request still waits there, and there is no backup yet.
     *
     * @param lastEventAtMillis when the last event of the stream arrived, or none before the first one
     * @param nowMillis the time
     * @return whether the engine should be abandoned
     */
    public boolean isPrimaryStalled(Option<Long> lastEventAtMillis, long nowMillis) {
        return lastEventAtMillis.exists(at -> primary.isStalled(at, nowMillis)) && mayFailOver(nowMillis);
    }

    /**
     * Returns whether the stream may continue at the backup now.
     *
     * @param nowMillis the time
     * @return whether it has not failed over yet and the engine accepts requests
     */
    public boolean mayFailOver(long nowMillis) {
        return !failedOver && pool.mayContinue(target, nowMillis);
    }

    /** Records that the stream fails over; from now on its memory is accounted for as that of a running request. */
    public void recordFailover() {
        failedOver = true;
        release();
    }

    /**
     * Returns whether the stream has failed over.
     *
     * @return whether it has
     */
    public boolean hasFailedOver() {
        return failedOver;
    }

    /** Releases the memory that is reserved for it. */
    public void release() {
        target.release(reserved);
        reserved = InFlightWork.NONE;
    }
}
