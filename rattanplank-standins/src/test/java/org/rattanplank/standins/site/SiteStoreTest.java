package org.rattanplank.standins.site;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
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
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreFeed;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StoreReadKind;
import org.rattanplank.platform.PlatformItems;
import org.rattanplank.platform.PlatformStore;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.platform.SiteStore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The adapter's store client and the feed, against the stand-in of the users' store. */
@Timeout(60)
class SiteStoreTest {
    private static final long LINK_BYTES_PER_MILLI = 125_000;
    private static final long LIMIT_SECONDS = 20;
    private static final long BUSY_NANOS = 300_000_000;

    /** After so many tasks in a row, a loop that is late reads what has come before it runs more of them. */
    private static final int TASKS_BETWEEN_READS = 64;

    private static final GatewayHost HOST =
            new GatewayHost("h1", 5, Location.of("suva", "suva-hall"), "10.0.0.1:80", "10.0.0.1:90");

    private final EventLoop storeLoop = EventLoop.of();
    private final EventLoop loop = EventLoop.of();
    private final BlockingQueue<ClusterEvent> learnt = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> store = new LinkedBlockingQueue<>();
    private SiteStore site;
    private SiteStoreClient operator;
    private PlatformStore client;

    @BeforeEach
    void startFeed() {
        site = SiteStore.of(storeLoop);
        InetSocketAddress address = site.serve(0);
        operator = SiteStoreClient.of(Addresses.write(address));
        client = PlatformStore.of(loop.group(), address);
        StoreFeed feed = StoreFeed.of(
                client,
                new PlatformItems(),
                new Listener(),
                loop.group().next(),
                MonotonicClock.ofProcess(),
                new Random(1),
                LINK_BYTES_PER_MILLI);
        loop.after(0, feed::start);
    }

    @AfterEach
    void stopFeed() {
        loop.close();
        storeLoop.close();
    }

    private ClusterEvent next() throws InterruptedException {
        ClusterEvent fact = learnt.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
        if (fact == null) {
            throw new AssertionError("nothing was learnt");
        }
        return fact;
    }

    private void awaitStore(String state) throws InterruptedException {
        assertEquals(state, store.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldLearnOfChangesWhenTheyAreMade() throws Exception {
        operator.enterTarget("t1", "desk", "10.0.0.9:8080", "suva-hall");
        assertEquals(
                "t1",
                assertInstanceOf(ClusterEvent.TargetRegistered.class, next())
                        .entry()
                        .id());

        operator.configure(SiteConfigurations.of(3));
        assertEquals(
                3,
                assertInstanceOf(ClusterEvent.ConfigurationChanged.class, next())
                        .configuration()
                        .version());

        operator.removeTarget("t1");
        assertEquals(new ClusterEvent.TargetRemoved("t1"), next());
    }

    /**
     * Symptom: requests go on to a target that left long ago. Sequence: the store's history is dropped; the target
     * leaves in the gap. Cause: only changes were followed, and the removal was among those that were dropped.
     */
    @Test
    void shouldNoticeARemovalWhenItFellIntoAGapOfTheHistory() throws Exception {
        operator.enterTarget("t1", "desk", "10.0.0.9:8080", "suva-hall");
        next();

        site.forgetHistory();
        operator.removeTarget("t1");

        assertEquals(new ClusterEvent.TargetRemoved("t1"), next());
    }

    /**
     * Symptom: an old configuration stays in force after an outage. Sequence: the store turns this host away; the
     * configuration changes; the store answers again. Cause: the feed did not list anew.
     */
    @Test
    void shouldLearnWhatItMissedWhenTheStoreReturns() throws Exception {
        operator.configure(SiteConfigurations.of(1));
        next();
        site.down(true);
        awaitStore("lost REFUSED");
        site.down(false);
        operator.configure(SiteConfigurations.of(2));
        awaitStore("returned");

        assertEquals(
                2,
                assertInstanceOf(ClusterEvent.ConfigurationChanged.class, next())
                        .configuration()
                        .version());
    }

    /**
     * Symptom: on a busy machine, a write is refused by a store that was taken back up before. Sequence: the store's loop is
     * late while it is told that it is up; the write is sent; both wait for the loop. Cause: the loop reads what has come
     * before it runs what it was told.
     */
    @Test
    void shouldTakeAWriteWhenItWasTakenBackUpBefore() throws Exception {
        operator.configure(SiteConfigurations.of(1));
        next();
        site.down(true);
        awaitStore("lost REFUSED");
        CountDownLatch busy = new CountDownLatch(1);
        storeLoop.after(0, () -> {
            busy.countDown();
            LockSupport.parkNanos(BUSY_NANOS);
        });
        for (int i = 0; i < TASKS_BETWEEN_READS * 2; i++) {
            storeLoop.after(0, () -> {});
        }
        busy.await();

        site.down(false);
        operator.enterTarget("t1", "desk", "10.0.0.9:8080", "suva-hall");

        assertInstanceOf(ClusterEvent.TargetRegistered.class, next());
    }

    /**
     * Symptom: a host that lives vanishes from the others' view for good. Sequence: its lease is ended by the platform
     * while it renews it. Cause: a renewal of what is gone was taken for one that failed, and tried for ever.
     */
    @Test
    void shouldEnterItselfAgainWhenItsLeaseHasEnded() throws Exception {
        BlockingQueue<Long> granted = new LinkedBlockingQueue<>();
        loop.after(0, () -> HostLease.of(
                        client, new PlatformItems(), HOST, loop.group().next(), 0, told -> {})
                .start());
        assertInstanceOf(ClusterEvent.HostRegistered.class, next());
        loop.after(0, () -> client.grantLease(1_000, lease -> granted.add(lease.get())));
        long other = granted.poll(LIMIT_SECONDS, TimeUnit.SECONDS);

        loop.after(0, () -> client.revokeLease(other - 1));

        assertEquals(new ClusterEvent.HostRemoved("h1"), next());
        assertInstanceOf(ClusterEvent.HostRegistered.class, next());
    }

    @Test
    void shouldSayThatALeaseIsGoneWhenItIsRenewedTooLate() throws Exception {
        BlockingQueue<Either<StoreFailure, Long>> replies = new LinkedBlockingQueue<>();
        loop.after(0, () -> client.renewLease(99, replies::add));

        assertEquals(
                StoreFailure.NOT_FOUND,
                replies.poll(LIMIT_SECONDS, TimeUnit.SECONDS).getLeft());
    }

    @Test
    void shouldEndACallWhenNothingListens() throws Exception {
        BlockingQueue<Either<StoreFailure, Long>> replies = new LinkedBlockingQueue<>();
        PlatformStore nowhere = PlatformStore.of(loop.group(), new InetSocketAddress("127.0.0.1", 1));
        loop.after(0, () -> nowhere.grantLease(1_000, replies::add));

        assertTrue(replies.poll(LIMIT_SECONDS, TimeUnit.SECONDS).isLeft());
    }

    private final class Listener implements FeedListener {
        @Override
        public void itemChanged(StoreItem item, ClusterEvent fact) {
            learnt.add(fact);
        }

        @Override
        public void storeResponded(long tookMillis) {
            // How long it takes says nothing of what is learnt.
        }

        @Override
        public void pageReceived(StoreReadKind reading, long bytes, int items, long tookMillis) {
            // Sizes are not looked at here.
        }

        @Override
        public void storeRecovered() {
            store.add("returned");
        }

        @Override
        public void storeUnavailable(StoreFailure reason) {
            store.add("lost " + reason);
        }
    }
}
