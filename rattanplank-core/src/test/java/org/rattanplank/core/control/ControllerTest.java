package org.rattanplank.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.OrderResult;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.FakeStore;
import org.rattanplank.core.store.StoreCommand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ControllerTest {
    private static final Location SUVA = Location.of("suva", "suva-hall");
    private static final long TICK_MILLIS = 100;
    private static final long LOADING_MILLIS = 3_000;

    private final FakeStore store = new FakeStore();
    private final Map<String, Controller> controllers = new TreeMap<>();
    private final Map<String, FakeTarget> targets = new TreeMap<>();
    private final List<String> frozenHosts = new ArrayList<>();
    private final List<ControlAction.Order> delayedOrders = new ArrayList<>();
    private FakeStore.Fault fault = FakeStore.Fault.NONE;
    private int callWithLostReply;
    private boolean checksFencing;
    private boolean delayOrders;
    private String wantedVersion = "plank@1";
    private long generation = 1;
    private long nowMillis = 1_000;
    private int maxConcurrentLoads;

    /** Simulated target that serves one version, and nothing while it loads another. */
    private static final class FakeTarget {
        String version = "plank@1";
        String loading = "";
        long loadedMillis;
        long fencingNumber;
        int loads;

        OrderResult order(ControlAction.Order order, boolean checkFencing, long nowMillis) {
            if (checkFencing && order.fencingNumber() < fencingNumber) {
                return OrderResult.FENCED;
            }
            fencingNumber = Math.max(fencingNumber, order.fencingNumber());
            if (!version.equals(order.subject()) && !loading.equals(order.subject())) {
                loading = order.subject();
                loadedMillis = nowMillis + LOADING_MILLIS;
                loads++;
            }
            return OrderResult.TAKEN;
        }

        void advanceTo(long nowMillis) {
            if (!loading.isEmpty() && nowMillis >= loadedMillis) {
                version = loading;
                loading = "";
            }
        }
    }

    @Test
    void shouldHaveOneHolderWhenTwoHostsCompete() {
        start(3, "suva-1", "suva-2");
        run(10_000);
        assertEquals(1, holderCount());
    }

    @Test
    void shouldLoadOneTargetAtATimeWhenVersionChanges() {
        start(4, "suva-1");
        run(15_000);
        setWantedVersion("plank@2");
        run(20_000);
        targets.values().forEach(target -> assertEquals("plank@2", target.version));
        assertEquals(1, maxConcurrentLoads);
        targets.values().forEach(target -> assertEquals(1, target.loads, "orders are not sent without need"));
    }

    @Test
    void shouldPauseRolloutWhenOtherTargetsOfServiceAreUnresponsive() {
        start(3, "suva-1");
        run(15_000);
        targets.get("plank-1").loading = "hangs";
        targets.get("plank-1").loadedMillis = Long.MAX_VALUE;
        targets.get("plank-2").loading = "hangs";
        targets.get("plank-2").loadedMillis = Long.MAX_VALUE;
        run(15_000);
        setWantedVersion("plank@2");
        run(15_000);
        assertEquals(0, targets.get("plank-0").loads, "the last serving target receives no order");
    }

    @Test
    void shouldAcquireLeaseByReadingBackWhenWriteReplyIsLost() {
        start(1, "suva-1");
        callWithLostReply = 3;
        for (int i = 0; i < 200 && holderCount() == 0; i++) {
            run(TICK_MILLIS);
        }
        assertEquals(1, holderCount());
        assertEquals(4, store.calls(), "read, grant, write, read");
    }

    @Test
    void shouldSendNoOrderWhenStoreIsUnavailableLongerThanLease() {
        // Symptom: two controllers send conflicting orders to the targets of a region.
        // Sequence: the holder cannot reach the store, its lease expires there, and another host acquires it.
        // Cause: the holder considers its lease valid until it observes the loss.
        start(2, "suva-1");
        run(15_000);
        fault = FakeStore.Fault.DOWN;
        run(ControllerLease.TTL_MILLIS);
        assertEquals(0, holderCount());
        setWantedVersion("plank@2");
        run(20_000);
        targets.values().forEach(target -> assertEquals(0, target.loads));
        fault = FakeStore.Fault.NONE;
        run(90_000);
        targets.values().forEach(target -> assertEquals("plank@2", target.version));
    }

    @Test
    void shouldRejectOldOrderWhenHolderWasFrozenAndTargetsCheckFencing() {
        // Symptom: a target returns to the previous version.
        // Sequence: the holder is frozen with an order in flight; its lease expires; the successor rolls out a newer
        // version; the first holder resumes and its order arrives.
        // Cause: the order carries no fencing number.
        checksFencing = true;
        freezeHolderWithOrderInFlight();
        FakeTarget target = targets.get(delayedOrders.get(0).target());
        assertEquals(OrderResult.FENCED, target.order(delayedOrders.get(0), true, nowMillis));
        run(5_000);
        assertEquals("plank@3", target.version);
    }

    @Test
    void shouldCorrectTargetWhenHolderWasFrozenAndTargetsIgnoreFencing() {
        // Symptom: a target that ignores fencing numbers returns to the previous version.
        // Sequence: as for targets that check fencing.
        // Cause: a controller orders once and never verifies the state of the target.
        freezeHolderWithOrderInFlight();
        FakeTarget target = targets.get(delayedOrders.get(0).target());
        target.order(delayedOrders.get(0), false, nowMillis);
        run(LOADING_MILLIS + TICK_MILLIS);
        assertEquals("plank@2", target.version);
        run(2 * LOADING_MILLIS);
        assertEquals("plank@3", target.version);
    }

    private void freezeHolderWithOrderInFlight() {
        start(3, "suva-1", "suva-2");
        run(15_000);
        String first = holder();
        delayOrders = true;
        setWantedVersion("plank@2");
        run(TICK_MILLIS);
        delayOrders = false;
        assertEquals(1, delayedOrders.size());
        frozenHosts.add(first);
        setWantedVersion("plank@3");
        run(60_000);
        assertFalse(first.equals(holder()), "a successor holds the lease");
        targets.values().forEach(target -> assertEquals("plank@3", target.version));
        frozenHosts.clear();
        List<ControlAction> resumedActions = controllers.get(first).tick(nowMillis);
        assertTrue(
                resumedActions.stream().noneMatch(ControlAction.Order.class::isInstance),
                "the resumed holder sends no order");
    }

    private void start(int count, String... hosts) {
        for (int i = 0; i < count; i++) {
            targets.put("plank-" + i, new FakeTarget());
        }
        for (String host : hosts) {
            Controller controller = Controller.of(new NodeIdentity(host, 1, SUVA));
            controller.targetsUpdated(
                    targets.keySet().stream().map(ControllerTest::listed).toList(), nowMillis);
            controllers.put(host, controller);
        }
        setWantedVersion(wantedVersion);
    }

    private void setWantedVersion(String version) {
        wantedVersion = version;
        Service service = new Service("plank-serve", true, wantedVersion, true, checksFencing);
        Configuration configuration = new Configuration(
                generation++, "d", Map.of("plank-serve", service), Map.of(), Map.of(), Map.of(), Set.of());
        controllers.forEach((host, controller) -> {
            if (!frozenHosts.contains(host)) {
                controller.configurationUpdated(configuration, nowMillis);
            }
        });
    }

    private void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
            targets.values().forEach(target -> target.advanceTo(nowMillis));
            int loading = (int) targets.values().stream()
                    .filter(target -> !target.loading.isEmpty())
                    .count();
            maxConcurrentLoads = Math.max(maxConcurrentLoads, loading);
            for (Map.Entry<String, Controller> entry : controllers.entrySet()) {
                if (!frozenHosts.contains(entry.getKey())) {
                    report(entry.getValue());
                    perform(entry.getValue(), entry.getValue().tick(nowMillis));
                }
            }
        }
    }

    private void report(Controller controller) {
        targets.forEach((name, target) -> {
            if (target.loading.isEmpty()) {
                controller.targetReported(
                        new TargetLoad(name, "plank-serve", List.of(target.version), 0, 0, 8, 30, 0, false, nowMillis),
                        nowMillis);
            }
        });
    }

    private void perform(Controller controller, List<ControlAction> actions) {
        for (ControlAction action : actions) {
            if (action instanceof ControlAction.CallStore call) {
                StoreCommand command = call.command();
                boolean lose = store.calls() + 1 == callWithLostReply;
                FakeStore.Fault now = lose ? FakeStore.Fault.ANSWER_LOST : fault;
                perform(
                        controller,
                        controller.storeReplied(call.callId(), store.call(command, now, nowMillis), nowMillis));
            } else if (action instanceof ControlAction.Order order && delayOrders) {
                delayedOrders.add(order);
            } else if (action instanceof ControlAction.Order order) {
                OrderResult result = targets.get(order.target()).order(order, checksFencing, nowMillis);
                perform(controller, controller.orderAnswered(order.orderId(), result, nowMillis));
            }
        }
    }

    private long holderCount() {
        return controllers.values().stream()
                .filter(controller -> controller.isHolder(nowMillis))
                .count();
    }

    private String holder() {
        return controllers.entrySet().stream()
                .filter(entry -> entry.getValue().isHolder(nowMillis))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private static ListedHost listed(String name) {
        return new ListedHost(name, HostRole.TARGET, SUVA, "127.0.0.1", 1, 0, "plank-serve", false);
    }
}
