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
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.StoreReply;

/**
 * Brings the targets of a region to the state that the configuration wants, while this host holds the region's lease.
 *
 * <p>Invariant: no order leaves after the lease could have lapsed by this host's own clock. Thread safe; one lock
 * guards all state, and no other lock is taken while it is held.
 */
public final class Controller {
    /** What an order asks of a target: to load a model in a version. */
    public static final String LOAD = "load";

    /** How many targets of the region load at once, for the weight store's sake. */
    private static final int MAX_CONCURRENT_LOADS = 4;

    private static final long MAX_ORDERS_PER_LEASE = 1_000_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final ControllerLease lease;
    private final Map<String, Rollout> rollouts = new TreeMap<>();
    private final Map<String, TargetLoad> reports = new TreeMap<>();
    private List<ListedHost> targets = List.of();
    private Configuration configuration = Configuration.empty();
    private boolean candidate = true;
    private long ordersFencingNumber;
    private long orderCount;
    private long nextCallId = 1;

    private Controller(NodeIdentity self) {
        lease = new ControllerLease(self, new SplittableRandom(Rendezvous.hash(self.host()) ^ self.incarnation()));
    }

    /**
     * Makes a controller that holds no lease.
     *
     * @param self the host
     * @return the controller
     */
    public static Controller of(NodeIdentity self) {
        return new Controller(self);
    }

    /**
     * Tells whether this host holds the lease of its region.
     *
     * @param nowMillis the time
     * @return whether the lease surely has not lapsed
     */
    public boolean isHolder(long nowMillis) {
        return locked(() -> lease.isHeld(nowMillis));
    }

    /**
     * Takes note of whether this host should try to hold the lease.
     *
     * @param isCandidate whether it is among the best hosts of its region
     */
    public void candidate(boolean isCandidate) {
        locked(() -> candidate = isCandidate);
    }

    /**
     * Takes a new configuration.
     *
     * @param newer the configuration in force
     * @param nowMillis the time
     */
    public void configured(Configuration newer, long nowMillis) {
        locked(() -> {
            configuration = newer;
            updateRollouts();
            return newer;
        });
    }

    /**
     * Takes the targets of the region.
     *
     * @param newer the targets that take work
     * @param nowMillis the time
     */
    public void targets(List<ListedHost> newer, long nowMillis) {
        locked(() -> {
            if (!newer.equals(targets)) {
                targets = List.copyOf(newer);
                updateRollouts();
            }
            return newer;
        });
    }

    /** Gives each service that wants a version its targets. */
    private void updateRollouts() {
        Map<String, List<ListedHost>> byService = new TreeMap<>();
        for (ListedHost target : targets) {
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
        reports.keySet().retainAll(targets.stream().map(ListedHost::name).toList());
    }

    private boolean hasWantedVersion(String service) {
        return configuration.service(service).exists(known -> !known.wantedVersion()
                .isEmpty());
    }

    /**
     * Takes a target's report, which says what it has loaded.
     *
     * @param load the report
     * @param nowMillis the time
     */
    public void reported(TargetLoad load, long nowMillis) {
        locked(() -> {
            reports.put(load.target(), load);
            Option.of(rollouts.get(load.service())).forEach(rollout -> rollout.targetReported(load));
            return load;
        });
    }

    /**
     * The newest reports of the region's targets.
     *
     * @return the reports, sorted by target
     */
    public List<TargetLoad> reports() {
        return locked(() -> List.copyOf(reports.values()));
    }

    /**
     * Takes the end of a call to the store.
     *
     * @param callId the call
     * @param reply its end
     * @param nowMillis the time
     * @return what to do
     */
    public List<ControlStep> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return locked(() -> {
            lease.callReplied(callId, reply, nowMillis);
            return nextActions(nowMillis);
        });
    }

    /**
     * Takes a target's answer to an order.
     *
     * @param orderId the order
     * @param result how it ended
     * @param nowMillis the time
     * @return what to do
     */
    public List<ControlStep> answered(long orderId, OrderResult result, long nowMillis) {
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
     * Lets time pass.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ControlStep> tick(long nowMillis) {
        return locked(() -> nextActions(nowMillis));
    }

    private List<ControlStep> nextActions(long nowMillis) {
        List<ControlStep> steps = new ArrayList<>();
        lease.tick(candidate, nextCallId, nowMillis)
                .forEach(command -> steps.add(new ControlStep.CallStore(nextCallId++, command)));
        if (lease.canSendOrder(nowMillis)) {
            addDueOrders(steps, nowMillis);
        }
        return steps;
    }

    private void addDueOrders(List<ControlStep> steps, long nowMillis) {
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
            // A target that takes orders of anybody may still get one that the last holder sent. Ordered before that
            // one has arrived, the target would end in the older state, and nobody would know why.
            boolean may = service.checksFencing() || lease.canSendUnfencedOrder(nowMillis);
            if (!may) {
                continue;
            }
            int before = entry.getValue().removeCompleted(service);
            for (String target : entry.getValue().selectDue(service, MAX_CONCURRENT_LOADS - loading, nowMillis)) {
                long orderId = ordersFencingNumber * MAX_ORDERS_PER_LEASE + orderCount++;
                entry.getValue().orderSent(target, orderId, nowMillis);
                steps.add(new ControlStep.Order(orderId, target, ordersFencingNumber, LOAD, service.wantedVersion()));
            }
            loading += entry.getValue().removeCompleted(service) - before;
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
