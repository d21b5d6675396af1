package org.rattanplank.standins.site;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.store.ClusterEvent;
import org.rattanplank.gateway.store.FeedListener;
import org.rattanplank.gateway.store.HostLease;
import org.rattanplank.gateway.store.StoreChange;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreFeed;
import org.rattanplank.gateway.store.StoreReadKind;
import org.rattanplank.gateway.store.StoreRevision;
import org.rattanplank.platform.PlatformItems;
import org.rattanplank.platform.PlatformStore;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.platform.SiteStore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the adapter's store client and the store feed against the stand-in of the deployment platform's store. */
@Timeout(60)
class SiteStoreTest {
    private static final long LINK_BYTES_PER_MILLI = 125_000;
    private static final long AWAIT_SECONDS = 20;
    private static final long LOOP_BLOCK_NANOS = 300_000_000;

    /** The number of queued tasks that a lagging event loop runs before it reads from its connections again. */
    private static final int TASKS_BETWEEN_READS = 64;

    private static final GatewayHost HOST =
            new GatewayHost("h1", 5, Location.of("suva", "suva-hall"), "10.0.0.1:80", "10.0.0.1:90");

    private final EventLoop storeLoop = EventLoop.of();
    private final EventLoop loop = EventLoop.of();
    private final BlockingQueue<ClusterEvent> facts = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> storeStates = new LinkedBlockingQueue<>();
    private SiteStore site;
    private SiteStoreClient operator;
    private PlatformStore client;

    @BeforeEach
    void startFeed() {
        site = SiteStore.of(storeLoop);
        InetSocketAddress address = site.serve(0);
        operator = SiteStoreClient.of(Addresses.format(address));
        client = PlatformStore.of(loop.group(), address);
        StoreFeed feed = StoreFeed.of(
                client,
                new PlatformItems(),
                new Listener(),
                loop.group().next(),
                MonotonicClock.ofProcess(),
                new Random(1),
                LINK_BYTES_PER_MILLI);
        loop.schedule(0, feed::start);
    }

    @AfterEach
    void stopFeed() {
        loop.close();
        storeLoop.close();
    }

    private ClusterEvent nextFact() throws InterruptedException {
        ClusterEvent fact = facts.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        if (fact == null) {
            throw new AssertionError("no change was received in time");
        }
        return fact;
    }

    private void awaitStoreState(String state) throws InterruptedException {
        assertEquals(state, storeStates.poll(AWAIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldReceiveChangesWhenTheyAreMade() throws Exception {
        operator.registerTarget("t1", "desk", "10.0.0.9:8080", "suva-hall");
        assertEquals(
                "t1",
                assertInstanceOf(ClusterEvent.TargetRegistered.class, nextFact())
                        .entry()
                        .id());

        operator.configure(SiteConfigurations.of(3));
        assertEquals(
                3,
                assertInstanceOf(ClusterEvent.ConfigurationChanged.class, nextFact())
                        .configuration()
                        .version());

        operator.removeTarget("t1");
        assertEquals(new ClusterEvent.TargetRemoved("t1"), nextFact());
    }

    /**
     * Guards against changes that are taken for old ones as the store has come back from an older copy, whose revisions have passed
     * the old ones before the next watch, so that no response but its era tells.
     */
    @Test
    void shouldReceiveChangesWhenTheStoreHasComeBackFromAnOlderCopy() throws Exception {
        operator.configure(SiteConfigurations.of(1));
        nextFact();
        site.keepCopy();
        for (int version = 2; version < 6; version++) {
            operator.configure(SiteConfigurations.of(version));
            nextFact();
        }

        site.restore();
        for (int version = 6; version < 12; version++) {
            operator.configure(SiteConfigurations.of(version));
        }

        awaitStoreState("restored in era 2");
        long version = 0;
        while (version < 11) {
            version = assertInstanceOf(ClusterEvent.ConfigurationChanged.class, nextFact())
                    .configuration()
                    .version();
        }
    }

    /** Guards against a condition that holds by chance, as its revision was given out again. */
    @Test
    void shouldWriteNothingWhenTheExpectedRevisionIsOfAnEarlierEra() throws Exception {
        BlockingQueue<Either<StoreFailure, Long>> replies = new LinkedBlockingQueue<>();
        site.keepCopy();
        site.restore();
        operator.configure(SiteConfigurations.of(1));
        nextFact();
        long earlier = StoreRevision.of(1, 2);

        loop.schedule(0, () -> client.put("op/config", new byte[0], 0, Option.some(earlier), replies::add));

        assertEquals(
                StoreFailure.CONFLICT,
                replies.poll(AWAIT_SECONDS, TimeUnit.SECONDS).getLeft());
    }

    /**
     * Guards against requests to a target that was removed long ago: the target is removed while the store drops its
     * history, so that a feed that only follows changes never receives the removal.
     */
    @Test
    void shouldReceiveRemovalWhenItFellIntoAGapOfTheHistory() throws Exception {
        operator.registerTarget("t1", "desk", "10.0.0.9:8080", "suva-hall");
        nextFact();

        site.dropHistory();
        operator.removeTarget("t1");

        assertEquals(new ClusterEvent.TargetRemoved("t1"), nextFact());
    }

    /**
     * Guards against a stale configuration after an outage: the store rejects this host's calls, the configuration
     * changes, the store accepts calls again, and the feed doesn't list the items again.
     */
    @Test
    void shouldReceiveMissedChangesWhenTheStoreReturns() throws Exception {
        operator.configure(SiteConfigurations.of(1));
        nextFact();
        site.down(true);
        awaitStoreState("lost REFUSED");
        site.down(false);
        operator.configure(SiteConfigurations.of(2));
        awaitStoreState("returned");

        assertEquals(
                2,
                assertInstanceOf(ClusterEvent.ConfigurationChanged.class, nextFact())
                        .configuration()
                        .version());
    }

    /**
     * Guards against a write that is rejected by a store that was already back up, as happens on a loaded machine: if the
     * change of state were a task of the store's event loop, a lagging loop could read the write before it runs the task.
     */
    @Test
    void shouldAcceptWriteWhenStoreIsBackUp() throws Exception {
        operator.configure(SiteConfigurations.of(1));
        nextFact();
        site.down(true);
        awaitStoreState("lost REFUSED");
        CountDownLatch busy = new CountDownLatch(1);
        storeLoop.schedule(0, () -> {
            busy.countDown();
            LockSupport.parkNanos(LOOP_BLOCK_NANOS);
        });
        for (int i = 0; i < TASKS_BETWEEN_READS * 2; i++) {
            storeLoop.schedule(0, () -> {});
        }
        busy.await();

        site.down(false);
        operator.registerTarget("t1", "desk", "10.0.0.9:8080", "suva-hall");

        assertInstanceOf(ClusterEvent.TargetRegistered.class, nextFact());
    }

    /**
     * Guards against a live host that stays missing from the other hosts' view: the platform revokes its lease, and the
     * host treats the renewal of the revoked lease as a transient failure and retries it for ever.
     */
    @Test
    void shouldRegisterItselfAgainWhenItsLeaseWasRevoked() throws Exception {
        BlockingQueue<Long> granted = new LinkedBlockingQueue<>();
        loop.schedule(0, () -> HostLease.of(
                        client, new PlatformItems(), HOST, loop.group().next(), 0, ignored -> {})
                .start());
        assertInstanceOf(ClusterEvent.HostRegistered.class, nextFact());
        loop.schedule(0, () -> client.grantLease(1_000, lease -> granted.add(lease.get())));
        long otherLease = granted.poll(AWAIT_SECONDS, TimeUnit.SECONDS);

        loop.schedule(0, () -> client.revokeLease(otherLease - 1));

        assertEquals(new ClusterEvent.HostRemoved("h1"), nextFact());
        assertInstanceOf(ClusterEvent.HostRegistered.class, nextFact());
    }

    @Test
    void shouldReportUnknownLeaseWhenItIsRenewedTooLate() throws Exception {
        BlockingQueue<Either<StoreFailure, Long>> replies = new LinkedBlockingQueue<>();
        loop.schedule(0, () -> client.renewLease(99, replies::add));

        assertEquals(
                StoreFailure.NOT_FOUND,
                replies.poll(AWAIT_SECONDS, TimeUnit.SECONDS).getLeft());
    }

    @Test
    void shouldFailCallWhenNothingListens() throws Exception {
        BlockingQueue<Either<StoreFailure, Long>> replies = new LinkedBlockingQueue<>();
        PlatformStore unreachable = PlatformStore.of(loop.group(), new InetSocketAddress("127.0.0.1", 1));
        loop.schedule(0, () -> unreachable.grantLease(1_000, replies::add));

        assertTrue(replies.poll(AWAIT_SECONDS, TimeUnit.SECONDS).isLeft());
    }

    private final class Listener implements FeedListener {
        @Override
        public void itemChanged(StoreChange change, ClusterEvent fact) {
            facts.add(fact);
        }

        @Override
        public void storeResponded(long tookMillis) {
            // Response times are not checked here.
        }

        @Override
        public void pageReceived(StoreReadKind reading, long bytes, int items, long tookMillis) {
            // Sizes are not checked here.
        }

        @Override
        public void copyDiffers(String peer, long revision) {
            // There is no other host here.
        }

        @Override
        public void watchSilent(long lagMillis, long copyRevision) {
            // Not tested here.
        }

        @Override
        public void storeRestored(long copyRevision, long revision) {
            storeStates.add("restored in era " + StoreRevision.era(revision));
        }

        @Override
        public void storeRecovered() {
            storeStates.add("returned");
        }

        @Override
        public void storeUnavailable(StoreFailure reason) {
            storeStates.add("lost " + reason);
        }
    }
}
