package org.rattanplank.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.OrderResult;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.route.TargetLoad;

/**
 * Moves the targets of one service to the wanted version, a few at a time.
 *
 * <p>Invariants: an order states the wanted result, so that it may be sent again; another target receives its order only
 * when a pending one reports the version; while other targets of the service are unresponsive, fewer are started, so
 * that at least half continue to serve. Not thread safe.
 */
final class Rollout {
    private static final long MAX_REPORT_AGE_MILLIS = 10_000;
    private static final long RETRY_ACCEPTED_MILLIS = 60_000;
    private static final long RETRY_UNCERTAIN_MILLIS = 5_000;
    private static final long RETRY_REJECTED_MILLIS = 30_000;
    private static final int CONCURRENCY_DIVISOR = 8;

    private static final class PendingOrder {
        private final String version;
        private long orderId;
        private long retryAtMillis;

        PendingOrder(String version) {
            this.version = version;
        }
    }

    private final Map<String, TargetLoad> reports = new TreeMap<>();
    private final Map<String, PendingOrder> pendingOrders = new TreeMap<>();
    private List<String> targets = List.of();

    void targets(List<ListedHost> newTargets) {
        targets = newTargets.stream().map(ListedHost::name).sorted().toList();
        reports.keySet().retainAll(targets);
        pendingOrders.keySet().retainAll(targets);
    }

    void targetReported(TargetLoad load) {
        reports.merge(
                load.target(),
                load,
                (previous, latest) -> latest.reportedAtMillis() >= previous.reportedAtMillis() ? latest : previous);
    }

    /** Clears all pending orders, because another host may have sent orders since. */
    void clearPendingOrders() {
        pendingOrders.clear();
    }

    /** Handles the answer to an order; returns whether the order belongs to this service. */
    boolean orderAnswered(long orderId, OrderResult result, long nowMillis) {
        for (PendingOrder order : pendingOrders.values()) {
            if (order.orderId == orderId) {
                order.retryAtMillis = nowMillis + retryDelayMillis(result);
                return true;
            }
        }
        return false;
    }

    private static long retryDelayMillis(OrderResult result) {
        return switch (result) {
            case TAKEN -> RETRY_ACCEPTED_MILLIS;
            case REFUSED -> RETRY_REJECTED_MILLIS;
            case UNSURE, FENCED -> RETRY_UNCERTAIN_MILLIS;
        };
    }

    /** Removes orders that are complete or no longer wanted; returns the number of orders that remain. */
    int removeCompleted(Service service) {
        pendingOrders.entrySet().removeIf(entry -> {
            boolean outdated = !entry.getValue().version.equals(service.wantedVersion());
            return outdated || hasLoaded(entry.getKey(), service.wantedVersion());
        });
        return pendingOrders.size();
    }

    /**
     * Selects the targets that are due for an order, at most {@code maxNew} of them new, and adds the new ones to the
     * pending orders.
     */
    List<String> selectDue(Service service, int maxNew, long nowMillis) {
        List<String> due = new ArrayList<>();
        pendingOrders.forEach((target, order) -> {
            if (nowMillis >= order.retryAtMillis) {
                due.add(target);
            }
        });
        int available = Math.min(maxNew, maxConcurrentLoads() - pendingOrders.size());
        for (String target : targets) {
            if (available <= 0 || !keepsHalfServing(nowMillis)) {
                break;
            }
            if (!pendingOrders.containsKey(target)
                    && hasRecentReport(target, nowMillis)
                    && !hasLoaded(target, service.wantedVersion())) {
                pendingOrders.put(target, new PendingOrder(service.wantedVersion()));
                due.add(target);
                available--;
            }
        }
        return due;
    }

    void orderSent(String target, long orderId, long nowMillis) {
        Option.of(pendingOrders.get(target)).forEach(order -> {
            order.orderId = orderId;
            order.retryAtMillis = nowMillis + RETRY_ACCEPTED_MILLIS;
        });
    }

    private int maxConcurrentLoads() {
        return Math.max(1, targets.size() / CONCURRENCY_DIVISOR);
    }

    private boolean keepsHalfServing(long nowMillis) {
        long serving = targets.stream()
                .filter(target -> hasRecentReport(target, nowMillis) && !pendingOrders.containsKey(target))
                .count();
        return targets.size() == 1 || serving - 1 >= targets.size() / 2;
    }

    private boolean hasRecentReport(String target, long nowMillis) {
        return reports.containsKey(target)
                && nowMillis - reports.get(target).reportedAtMillis() <= MAX_REPORT_AGE_MILLIS;
    }

    private boolean hasLoaded(String target, String version) {
        return reports.containsKey(target) && reports.get(target).models().contains(version);
    }
}
