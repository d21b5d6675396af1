package org.rattanplank.gateway.store;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.GatewayHost;

/**
 * Keeps this host's entry in the store by a lease.
 *
 * <p>Invariant: while the store answers, the entry is back within one interval of having been lost, whether its lease
 * ran out or its key was taken away. Confined to its event loop.
 */
public final class HostLease {
    /** A killed host leaves the list by its links; the lease only bounds how long its entry stays. */
    static final long LEASE_MILLIS = 6_000;

    /**
     * Four renewals fit into a lease, so that three of them may be lost; and a store that turned this host away shows so
     * soon.
     */
    static final long INTERVAL_MILLIS = 1_200;

    private final ClusterStore store;
    private final StoreFormat format;
    private final GatewayHost self;
    private final EventLoop loop;
    private final long leaseMillis;
    private final Consumer<Option<StoreFailure>> told;
    private long lease;
    private boolean entered;
    private boolean left;

    private HostLease(
            ClusterStore store,
            StoreFormat format,
            GatewayHost self,
            EventLoop loop,
            long shortestMillis,
            Consumer<Option<StoreFailure>> told) {
        leaseMillis = Math.max(LEASE_MILLIS, shortestMillis);
        this.store = store;
        this.format = format;
        this.self = self;
        this.loop = loop;
        this.told = told;
    }

    /**
     * Makes a lease that is not asked for yet.
     *
     * @param store the store
     * @param format how an entry is written
     * @param self this host
     * @param loop the event loop
     * @param shortestMillis the shortest lease that the store grants
     * @param told told of each call whether it failed
     * @return the lease
     */
    public static HostLease of(
            ClusterStore store,
            StoreFormat format,
            GatewayHost self,
            EventLoop loop,
            long shortestMillis,
            Consumer<Option<StoreFailure>> told) {
        return new HostLease(store, format, self, loop, shortestMillis, told);
    }

    /** Enters this host and keeps it entered. */
    public void start() {
        step();
    }

    /** Takes note that this host's key is gone, and enters it anew at the next step. */
    public void keyLost() {
        entered = false;
    }

    /** Takes this host out. */
    public void leave() {
        left = true;
        if (lease != 0) {
            store.endLease(lease);
        }
    }

    private void step() {
        if (left) {
            return;
        }
        if (lease == 0) {
            store.grantLease(leaseMillis, this::granted);
        } else if (!entered) {
            StoreItem item = format.write(self);
            store.put(item.key(), item.value(), lease, Option.none(), this::written);
        } else {
            store.keepLease(lease, this::kept);
        }
    }

    private void granted(Either<StoreFailure, Long> reply) {
        if (reply.isRight()) {
            lease = reply.get();
            entered = false;
            step();
            return;
        }
        failed(reply.getLeft());
    }

    private void written(Either<StoreFailure, Long> reply) {
        if (reply.isRight()) {
            entered = true;
            told.accept(Option.none());
            again();
            return;
        }
        forgetIfEnded(reply.getLeft());
        failed(reply.getLeft());
    }

    private void kept(Either<StoreFailure, Long> reply) {
        if (reply.isLeft()) {
            forgetIfEnded(reply.getLeft());
            failed(reply.getLeft());
            return;
        }
        told.accept(Option.none());
        again();
    }

    private void forgetIfEnded(StoreFailure failure) {
        if (failure == StoreFailure.NOT_FOUND) {
            lease = 0;
            entered = false;
        }
    }

    private void failed(StoreFailure failure) {
        told.accept(Option.some(failure));
        again();
    }

    private void again() {
        loop.schedule(this::step, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
