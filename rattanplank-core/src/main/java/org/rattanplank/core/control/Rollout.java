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
 * Brings the targets of one service to the version that is wanted, a few at a time.
 *
 * <p>Invariants: an order states the wanted end, so that it may be given again; the next target gets its order only when
 * one before it reports the version; while others of the service are silent, fewer are taken on, so that at least half
 * go on serving. Not thread safe.
 */
final class Rollout {
    private static final long FRESH_MILLIS = 10_000;
    private static final long REPEAT_TAKEN_MILLIS = 60_000;
    private static final long REPEAT_UNSURE_MILLIS = 5_000;
    private static final long REPEAT_REFUSED_MILLIS = 30_000;
    private static final int PART_AT_ONCE = 8;

    private static final class Pending {
        private final String version;
        private long orderId;
        private long againMillis;

        Pending(String version) {
            this.version = version;
        }
    }

    private final Map<String, TargetLoad> reports = new TreeMap<>();
    private final Map<String, Pending> pending = new TreeMap<>();
    private List<String> targets = List.of();

    void targets(List<ListedHost> newer) {
        targets = newer.stream().map(ListedHost::name).sorted().toList();
        reports.keySet().retainAll(targets);
        pending.keySet().retainAll(targets);
    }

    void reported(TargetLoad load) {
        reports.merge(
                load.target(), load, (old, newer) -> newer.reportedAtMillis() >= old.reportedAtMillis() ? newer : old);
    }

    /** Forgets what was ordered, because another host may have given orders since. */
    void forget() {
        pending.clear();
    }

    /** Takes the end of an order; tells whether it was one of this service. */
    boolean answered(long orderId, OrderResult result, long nowMillis) {
        for (Pending order : pending.values()) {
            if (order.orderId == orderId) {
                order.againMillis = nowMillis + repeatMillis(result);
                return true;
            }
        }
        return false;
    }

    private static long repeatMillis(OrderResult result) {
        return switch (result) {
            case TAKEN -> REPEAT_TAKEN_MILLIS;
            case REFUSED -> REPEAT_REFUSED_MILLIS;
            case UNSURE, FENCED -> REPEAT_UNSURE_MILLIS;
        };
    }

    /** Drops orders that are done or no longer wanted; gives the number of those that are not. */
    int settle(Service service) {
        pending.entrySet().removeIf(entry -> {
            boolean other = !entry.getValue().version.equals(service.wantedVersion());
            return other || has(entry.getKey(), service.wantedVersion());
        });
        return pending.size();
    }

    /** Finds the targets to order now, with at most so many new ones, and takes note of them. */
    List<String> due(Service service, int maxNew, long nowMillis) {
        List<String> due = new ArrayList<>();
        pending.forEach((target, order) -> {
            if (nowMillis >= order.againMillis) {
                due.add(target);
            }
        });
        int places = Math.min(maxNew, atOnce() - pending.size());
        for (String target : targets) {
            if (places <= 0 || !leavesEnough(nowMillis)) {
                break;
            }
            if (!pending.containsKey(target) && isFresh(target, nowMillis) && !has(target, service.wantedVersion())) {
                pending.put(target, new Pending(service.wantedVersion()));
                due.add(target);
                places--;
            }
        }
        return due;
    }

    void ordered(String target, long orderId, long nowMillis) {
        Option.of(pending.get(target)).forEach(order -> {
            order.orderId = orderId;
            order.againMillis = nowMillis + REPEAT_TAKEN_MILLIS;
        });
    }

    private int atOnce() {
        return Math.max(1, targets.size() / PART_AT_ONCE);
    }

    private boolean leavesEnough(long nowMillis) {
        long serving = targets.stream()
                .filter(target -> isFresh(target, nowMillis) && !pending.containsKey(target))
                .count();
        return targets.size() == 1 || serving - 1 >= targets.size() / 2;
    }

    private boolean isFresh(String target, long nowMillis) {
        return reports.containsKey(target) && nowMillis - reports.get(target).reportedAtMillis() <= FRESH_MILLIS;
    }

    private boolean has(String target, String version) {
        return reports.containsKey(target) && reports.get(target).models().contains(version);
    }
}
