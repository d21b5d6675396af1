package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Option;

/**
 * Searches depth-first over the possible events for the claims of a few hosts, running the production code.
 *
 * <p>Each step either delivers the next event (a message, a reply of the store, or, when nothing is in flight, a tick
 * of one second), or is one choice of the search. Choices that are faults draw on a budget. Not thread safe.
 */
final class ClaimSearch {
    private static final long TICK_MILLIS = 1_000;
    private static final int MAX_OPENS = 2;

    /** Steps that led to a second run of the key, if one was found. */
    private Option<List<String>> violation = Option.none();

    private final ClaimKey key;
    private final long keyMillis;
    private final List<String> hosts;
    private final Map<Long, Integer> visitedDepths = new HashMap<>();
    private final List<String> path = new ArrayList<>();
    long visitedStates;

    private record Choice(String name, int cost, Consumer<ClaimCluster> effect) {}

    ClaimSearch(List<String> hosts, long keyMillis) {
        this.hosts = hosts;
        this.keyMillis = keyMillis;
        key = ClaimKey.of("floor", ClaimsTest.timestampedKey(keyMillis));
    }

    static ClaimLimits limits() {
        return new ClaimLimits(10_000_000, 100, 100, 1_000, 0, 2_000, 1_000, 500, 500, 1_500, 500, 30_000, 10_000);
    }

    Option<List<String>> run(ClaimCluster cluster, int faults, int depth) {
        visit(cluster, faults, depth);
        return violation;
    }

    /**
     * Follows a single path: each pick selects a choice, and picks beyond the number of choices deliver the next event.
     *
     * @return the steps that were taken
     */
    List<String> followPicks(ClaimCluster cluster, List<Integer> picks, int faults) {
        int remainingFaults = faults;
        for (int pick : picks) {
            List<Choice> choices = choices(cluster);
            Choice choice = choices.get(pick < choices.size() ? pick : 0);
            if (choice.cost() <= remainingFaults) {
                remainingFaults -= choice.cost();
                path.add(choice.name());
                choice.effect().accept(cluster);
            }
        }
        return path;
    }

    private void visit(ClaimCluster cluster, int faults, int depth) {
        if (violation.isDefined()) {
            return;
        }
        if (cluster.executedRequestIds.size() > 1) {
            violation = Option.some(List.copyOf(path));
            return;
        }
        if (depth == 0 || isVisited(cluster, faults, depth)) {
            return;
        }
        visitedStates++;
        List<Choice> choices = choices(cluster);
        // Faults come last in the list and are tried first, since that finds violations sooner.
        for (int i = choices.size() - 1; i >= 0; i--) {
            Choice choice = choices.get(i);
            if (choice.cost() <= faults) {
                ClaimCluster next = cluster.copy();
                choice.effect().accept(next);
                path.add(choice.name());
                visit(next, faults - choice.cost(), depth - 1);
                path.remove(path.size() - 1);
            }
        }
    }

    private boolean isVisited(ClaimCluster cluster, int faults, int depth) {
        long digest = digest(cluster.stateKey() + faults);
        if (visitedDepths.getOrDefault(digest, 0) >= depth) {
            return true;
        }
        visitedDepths.put(digest, depth);
        return false;
    }

    private static long digest(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    private List<Choice> choices(ClaimCluster cluster) {
        List<Choice> choices = new ArrayList<>();
        choices.add(new Choice("next", 0, ClaimSearch::next));
        addCallerChoices(cluster, choices);
        if (cluster.nextLink().isEmpty()) {
            addRepairChoices(cluster, choices);
        }
        addFaultChoices(cluster, choices);
        return choices;
    }

    private static void next(ClaimCluster cluster) {
        if (!cluster.deliverNext()) {
            cluster.nowMillis += TICK_MILLIS;
            cluster.tick();
        }
    }

    private void addCallerChoices(ClaimCluster cluster, List<Choice> choices) {
        for (String id : List.copyOf(cluster.executedRequestIds)) {
            if (cluster.isRunning(id)) {
                choices.add(new Choice(
                        "answer " + id,
                        0,
                        next -> next.settle(id, key, new ClaimResult.Answered(ClaimCluster.ANSWER))));
                choices.add(new Choice("not run " + id, 0, next -> {
                    next.executedRequestIds.remove(id);
                    next.settle(id, key, new ClaimResult.NotRun());
                }));
            }
        }
        int opened = cluster.openCount;
        if (opened == MAX_OPENS || cluster.nowMillis < keyMillis) {
            return;
        }
        for (String host : cluster.liveHosts()) {
            // The first caller always uses the first host, since hosts are interchangeable at that point.
            if (!cluster.isPaused(host) && (opened > 0 || host.equals(hosts.get(0)))) {
                choices.add(new Choice("open r" + opened + " at " + host, 0, next -> {
                    next.openCount++;
                    next.open(host, key, "r" + opened);
                }));
            }
        }
    }

    private void addRepairChoices(ClaimCluster cluster, List<Choice> choices) {
        for (String host : hosts) {
            if (!cluster.liveHosts().contains(host)) {
                choices.add(new Choice("start " + host, 0, next -> next.start(host)));
            } else if (cluster.isLeaving(host) && cluster.claims(host).hasLeft()) {
                choices.add(new Choice("stop " + host, 0, next -> next.crash(host)));
            } else if (cluster.isPaused(host)) {
                choices.add(new Choice("resume " + host, 0, next -> next.resume(host)));
            }
        }
        if (cluster.hasDelayedWrites()) {
            choices.add(new Choice("apply delayed write", 0, ClaimCluster::applyDelayedWrites));
        }
        if (cluster.hasPartitions()) {
            choices.add(new Choice("heal", 0, ClaimCluster::healPartitions));
        }
    }

    private void addFaultChoices(ClaimCluster cluster, List<Choice> choices) {
        for (String host : cluster.liveHosts()) {
            choices.add(new Choice("crash " + host, 1, next -> next.crash(host)));
            if (!cluster.isPaused(host)) {
                choices.add(new Choice("pause " + host, 1, next -> next.pause(host)));
            }
            if (!cluster.isLeaving(host)) {
                choices.add(new Choice("leave " + host, 1, next -> next.leave(host)));
            }
            if (!cluster.isPartitioned(host, "store")) {
                choices.add(new Choice("partition from store " + host, 1, next -> next.partitionFromStore(host)));
            }
        }
        for (String one : hosts) {
            for (String other : hosts) {
                if (one.compareTo(other) < 0 && !cluster.isPartitioned(one, other)) {
                    choices.add(new Choice("partition " + one + " " + other, 1, next -> next.partition(one, other)));
                }
            }
        }
        if (cluster.hasStoreCall()) {
            choices.add(new Choice("lose store reply", 1, next -> next.serveStoreCall(true)));
            choices.add(new Choice("delay store write", 1, ClaimCluster::delayStoreWrite));
        }
        cluster.nextLink().filter(FakeLink::headIsMessage).forEach(link -> addMessageFaultChoices(link, choices));
    }

    private static void addMessageFaultChoices(FakeLink link, List<Choice> choices) {
        choices.add(new Choice(
                "lose " + link.from + link.to, 1, next -> next.linkLike(link).dropHead()));
        choices.add(new Choice(
                "delay " + link.from + link.to, 1, next -> next.linkLike(link).delayHead()));
    }
}
