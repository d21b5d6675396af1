package org.rattanplank.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.host.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;

@Timeout(20)
class HostLeaseTest {
    private static final long FIRST_LEASE = 17;

    private final EventLoop loop = new DefaultEventLoop();
    private final RestoringStore store = new RestoringStore();
    private final HostLease lease = HostLease.of(
            store,
            store,
            new GatewayHost("h1", 1, Location.of("suva", "suva-hall"), "127.0.0.1:1", "127.0.0.1:2"),
            loop,
            1,
            outcome -> {});

    @AfterEach
    void closeLoop() {
        loop.shutdownGracefully();
    }

    /**
     * Guards against a host that renews the lease of another one: the store has come back from a copy without its lease, and has
     * given the identifier out again.
     */
    @Test
    void shouldRegisterUnderANewLeaseWhenTheStoreWasRestoredWithTheOldIdentifierInUse() {
        loop.submit(lease::start).syncUninterruptibly();
        assertEquals(List.of("put 17"), store.calls);

        loop.submit(() -> {
                    store.era = 2;
                    store.nextLease = FIRST_LEASE + 1;
                })
                .syncUninterruptibly();
        while (store.calls.size() < 2) {
            Thread.onSpinWait();
        }

        assertEquals(List.of("put 17", "put 18"), store.calls.subList(0, 2));
    }

    /** Guards against a host that ends the lease of another one as it stops. */
    @Test
    void shouldRevokeNothingWhenTheStoreWasRestoredSinceItsLeaseWasGranted() {
        loop.submit(() -> {
                    lease.start();
                    store.era = 2;
                    lease.deregister();
                })
                .syncUninterruptibly();

        assertEquals(List.of("put 17"), store.calls);
    }

    /** Guards against an entry that is bound to a lease of the era before, as the store was restored between both calls. */
    @Test
    void shouldRegisterAgainWhenTheStoreIsRestoredWhileItsEntryIsWritten() {
        store.eraAfterPut = Option.some(2L);

        loop.submit(lease::start).syncUninterruptibly();

        assertEquals(List.of("put 17", "put 17"), store.calls);
    }

    /** A store that answers at once. Confined to the event loop but for its calls, which are read when it is idle. */
    private static final class RestoringStore extends UnsupportedStore {
        private final List<String> calls = java.util.Collections.synchronizedList(new ArrayList<>());
        private Option<Long> eraAfterPut = Option.none();
        private long nextLease = FIRST_LEASE;
        private long era = 1;

        @Override
        public long era() {
            return era;
        }

        @Override
        public void grantLease(long millis, Consumer<Either<StoreFailure, Long>> reply) {
            reply.accept(Either.right(nextLease));
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> reply) {
            reply.accept(Either.right(lease));
        }

        @Override
        public void revokeLease(long lease) {
            calls.add("revoke " + lease);
        }

        @Override
        public void put(
                String key,
                byte[] value,
                long lease,
                Option<Long> expectedRevision,
                Consumer<Either<StoreFailure, Long>> reply) {
            calls.add("put " + lease);
            eraAfterPut.forEach(next -> era = next);
            reply.accept(Either.right(1L));
        }

        @Override
        public StoreItem write(GatewayHost host) {
            return new StoreItem("hosts/" + host.name(), new byte[0], 0, false);
        }
    }
}
