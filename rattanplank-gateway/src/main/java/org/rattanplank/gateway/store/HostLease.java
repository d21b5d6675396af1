package org.rattanplank.gateway.store;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.GatewayHost;

/**
 * Keeps this host registered in the store by a lease.
 *
 * <p>Invariants: while the store responds, a lost entry is restored within one renewal interval, whether its lease expired, its
 * key was removed or the store came back from an older copy; a lease is used only in the era of the store that granted it, as its
 * identifier may belong to another host since. Confined to its event loop.
 */
public final class HostLease {
    /** A killed host is detected by its links; the lease only bounds how long its entry stays. */
    static final long LEASE_MILLIS = 6_000;

    /**
     * Allows four renewals within a lease, so that three of them may be lost. A short interval also reveals soon that the
     * store rejects this host's calls.
     */
    static final long RENEWAL_INTERVAL_MILLIS = 1_200;

    private final ClusterStore store;
    private final StoreFormat format;
    private final GatewayHost self;
    private final EventLoop loop;
    private final long leaseMillis;
    private final Consumer<Option<StoreFailure>> outcomeListener;
    private long lease;
    private long leaseEra;
    private boolean registered;
    private boolean deregistered;

    private HostLease(
            ClusterStore store,
            StoreFormat format,
            GatewayHost self,
            EventLoop loop,
            long minLeaseMillis,
            Consumer<Option<StoreFailure>> outcomeListener) {
        leaseMillis = Math.max(LEASE_MILLIS, minLeaseMillis);
        this.store = store;
        this.format = format;
        this.self = self;
        this.loop = loop;
        this.outcomeListener = outcomeListener;
    }

    /**
     * Creates a lease that is not requested yet.
     *
     * @param store the store
     * @param format encodes this host's entry
     * @param self this host
     * @param loop the event loop
     * @param minLeaseMillis the minimum lease that the store grants
     * @param outcomeListener receives the outcome of each call: its failure, or none
     * @return the lease
     */
    public static HostLease of(
            ClusterStore store,
            StoreFormat format,
            GatewayHost self,
            EventLoop loop,
            long minLeaseMillis,
            Consumer<Option<StoreFailure>> outcomeListener) {
        return new HostLease(store, format, self, loop, minLeaseMillis, outcomeListener);
    }

    /** Registers this host and keeps it registered. */
    public void start() {
        advance();
    }

    /** Records that this host's key was removed; the next step registers the host again. */
    public void keyRemoved() {
        registered = false;
    }

    /** Removes this host from the store by revoking its lease. */
    public void deregister() {
        deregistered = true;
        if (lease != 0 && leaseEra == store.era()) {
            store.revokeLease(lease);
        }
    }

    private void advance() {
        if (deregistered) {
            return;
        }
        long era = store.era();
        if (leaseEra != era) {
            forgetLease();
        }
        if (lease == 0) {
            store.grantLease(leaseMillis, reply -> leaseGranted(era, reply));
        } else if (!registered) {
            StoreItem item = format.write(self);
            store.put(item.key(), item.value(), lease, Option.none(), this::entryWritten);
        } else {
            store.renewLease(lease, this::leaseRenewed);
        }
    }

    private void leaseGranted(long era, Either<StoreFailure, Long> reply) {
        if (reply.isRight()) {
            lease = reply.get();
            leaseEra = era;
            registered = false;
            advance();
            return;
        }
        callFailed(reply.getLeft());
    }

    private void entryWritten(Either<StoreFailure, Long> reply) {
        if (reply.isRight()) {
            registered = true;
            callSucceeded();
            return;
        }
        clearIfLeaseEnded(reply.getLeft());
        callFailed(reply.getLeft());
    }

    private void leaseRenewed(Either<StoreFailure, Long> reply) {
        if (reply.isLeft()) {
            clearIfLeaseEnded(reply.getLeft());
            callFailed(reply.getLeft());
            return;
        }
        callSucceeded();
    }

    private void clearIfLeaseEnded(StoreFailure failure) {
        if (failure == StoreFailure.NOT_FOUND) {
            forgetLease();
        }
    }

    private void forgetLease() {
        lease = 0;
        registered = false;
    }

    private void callSucceeded() {
        outcomeListener.accept(Option.none());
        if (leaseEra == store.era()) {
            scheduleNext();
        } else {
            advance();
        }
    }

    private void callFailed(StoreFailure failure) {
        outcomeListener.accept(Option.some(failure));
        scheduleNext();
    }

    private void scheduleNext() {
        loop.schedule(this::advance, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
