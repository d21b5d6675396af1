package org.rattanplank.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.OrderResult;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.StoreReply;

/**
 * Reconciles the targets of a region with the configuration while this host holds the lease of the region.
 *
 * <p>Invariant: no order is sent after the lease may have expired by the clock of this host. Thread safe; one lock
 * guards all state, and no other lock is taken while it is held.
 */
public final class Controller {
    /** Verb of an order that loads a version of a model. */
    public static final String LOAD = "load";

    /** Maximum number of targets of the region that load at once, which bounds the load on the weight store. */
    private static final int MAX_CONCURRENT_LOADS = 4;

    private static final long MAX_ORDERS_PER_LEASE = 1_000_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final ControllerLease lease;
    private final Map<String, Rollout> rollouts = new TreeMap<>();
    private final Map<String, TargetLoad> reports = new TreeMap<>();
    private List<ListedHost> regionTargets = List.of();
    private Configuration configuration = Configuration.empty();
    private boolean leaseCandidate = true;
    private long ordersFencingNumber;
    private long orderCount;
    private long nextCallId = 1;

    private Controller(NodeIdentity self) {
        lease = new ControllerLease(
                self, new SplittableRandom(RendezvousHashing.hash(self.host()) ^ self.incarnation()));
    }

    /**
     * Creates a controller that holds no lease.
     *
     * @param self the identity of this process
     * @return the controller
     */
    public static Controller of(NodeIdentity self) {
        return new Controller(self);
    }

    /**
     * Returns whether this host holds the lease of its region.
     *
     * @param nowMillis the current time
     * @return whether the lease definitely has not expired
     */
    public boolean isHolder(long nowMillis) {
        return locked(() -> lease.isHeld(nowMillis));
    }

    /**
     * Updates whether this host competes for the lease.
     *
     * @param isCandidate whether this host is among the preferred hosts of its region
     */
    public void candidateChanged(boolean isCandidate) {
        locked(() -> leaseCandidate = isCandidate);
    }

    /**
     * Applies a new configuration.
     *
     * @param newConfiguration the configuration in force
     * @param nowMillis the current time
     */
    public void configurationUpdated(Configuration newConfiguration, long nowMillis) {
        locked(() -> {
            configuration = newConfiguration;
            updateRollouts();
            return newConfiguration;
        });
    }

    /**
     * Updates the targets of the region.
     *
     * @param newTargets the targets that accept requests
     * @param nowMillis the current time
     */
    public void targetsUpdated(List<ListedHost> newTargets, long nowMillis) {
        locked(() -> {
            if (!newTargets.equals(regionTargets)) {
                regionTargets = List.copyOf(newTargets);
                updateRollouts();
            }
            return newTargets;
        });
    }

    /** Assigns targets to the rollout of each service that has a wanted version. */
    private void updateRollouts() {
        Map<String, List<ListedHost>> byService = new TreeMap<>();
        for (ListedHost target : regionTargets) {
            byService
                    .computeIfAbsent(target.service(), name -> new ArrayList<>())
                    .add(target);
        }
        rollouts.keySet().removeIf(name -> !hasWantedVersion(name));
        byService.forEach((name, hosts) -> {
            if (hasWantedVersion(name)) {
                Rollout rollout = rollouts.computeIfAbsent(name, added -> new Rollout());
                rollout.targets(hosts);
                hosts.forEach(host -> Option.of(reports.get(host.name())).forEach(rollout::targetReported));
            }
        });
        reports.keySet().retainAll(regionTargets.stream().map(ListedHost::name).toList());
    }

    private boolean hasWantedVersion(String service) {
        return configuration.service(service).exists(known -> !known.wantedVersion()
                .isEmpty());
    }

    /**
     * Handles a state report of a target, which lists the models that it has loaded.
     *
     * @param load the report
     * @param nowMillis the current time
     */
    public void targetReported(TargetLoad load, long nowMillis) {
        locked(() -> {
            reports.put(load.target(), load);
            Option.of(rollouts.get(load.service())).forEach(rollout -> rollout.targetReported(load));
            return load;
        });
    }

    /**
     * Returns the latest reports of the targets of the region.
     *
     * @return the reports, sorted by target
     */
    public List<TargetLoad> reports() {
        return locked(() -> List.copyOf(reports.values()));
    }

    /**
     * Handles the reply to a call to the store.
     *
     * @param callId the call
     * @param reply the reply
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ControlAction> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return locked(() -> {
            lease.callReplied(callId, reply, nowMillis);
            return nextActions(nowMillis);
        });
    }

    /**
     * Handles the answer of a target to an order.
     *
     * @param orderId the order
     * @param result the result of the order
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ControlAction> orderAnswered(long orderId, OrderResult result, long nowMillis) {
        return locked(() -> {
            boolean ofThisLease = orderId / MAX_ORDERS_PER_LEASE == lease.fencingNumber();
            if (result == OrderResult.FENCED && ofThisLease) {
                lease.release(nowMillis);
                return List.of();
            }
            rollouts.values().forEach(rollout -> rollout.orderAnswered(orderId, result, nowMillis));
            return nextActions(nowMillis);
        });
    }

    /**
     * Advances time.
     *
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ControlAction> tick(long nowMillis) {
        return locked(() -> nextActions(nowMillis));
    }

    private List<ControlAction> nextActions(long nowMillis) {
        List<ControlAction> actions = new ArrayList<>();
        lease.tick(leaseCandidate, nextCallId, nowMillis)
                .forEach(command -> actions.add(new ControlAction.CallStore(nextCallId++, command)));
        if (lease.canSendOrder(nowMillis)) {
            addDueOrders(actions, nowMillis);
        }
        return actions;
    }

    private void addDueOrders(List<ControlAction> actions, long nowMillis) {
        if (ordersFencingNumber != lease.fencingNumber()) {
            ordersFencingNumber = lease.fencingNumber();
            orderCount = 0;
            rollouts.values().forEach(Rollout::clearPendingOrders);
        }
        int loading = 0;
        for (Map.Entry<String, Rollout> entry : rollouts.entrySet()) {
            loading += entry.getValue()
                    .removeCompleted(configuration.service(entry.getKey()).get());
        }
        for (Map.Entry<String, Rollout> entry : rollouts.entrySet()) {
            Service service = configuration.service(entry.getKey()).get();
            // A target that does not check fencing numbers may still receive an order from the previous holder. If a
            // new order were sent first, the late order would return the target to the older version without any
            // visible cause.
            boolean allowed = service.checksFencing() || lease.canSendUnfencedOrder(nowMillis);
            if (!allowed) {
                continue;
            }
            int previouslyLoading = entry.getValue().removeCompleted(service);
            for (String target : entry.getValue().selectDue(service, MAX_CONCURRENT_LOADS - loading, nowMillis)) {
                long orderId = ordersFencingNumber * MAX_ORDERS_PER_LEASE + orderCount++;
                entry.getValue().orderSent(target, orderId, nowMillis);
                actions.add(
                        new ControlAction.Order(orderId, target, ordersFencingNumber, LOAD, service.wantedVersion()));
            }
            loading += entry.getValue().removeCompleted(service) - previouslyLoading;
        }
    }

    private <T> T locked(Supplier<T> work) {
        lock.lock();
        try {
            return work.get();
        } finally {
            lock.unlock();
        }
    }
}
