package org.rattanplank.core.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreReply;

/**
 * Runs the claims of several hosts of one data centre over simulated connections and a simulated store. Not thread
 * safe.
 */
final class ClaimCluster {
    static final long START_MILLIS = 1_000_000;
    static final Answer ANSWER = Answer.of(200, "text/plain", new byte[] {1});

    private record StoreCall(String host, long incarnation, long callId, StoreCommand command) {}

    private final TakeoverRule rule;
    private final ClaimLimits limits;
    private final Map<String, FakeLink> links = new TreeMap<>();
    private final Map<String, Claims> processes = new TreeMap<>();
    private final Map<String, Long> incarnations = new TreeMap<>();
    private final Deque<StoreCall> storeCalls = new ArrayDeque<>();
    private final List<StoreCommand> delayedWrites = new ArrayList<>();
    private final Set<String> pausedHosts = new TreeSet<>();
    private final Set<String> partitions = new TreeSet<>();
    private final Set<String> leavingHosts = new TreeSet<>();
    final FakeStore store;
    final List<String> executedRequestIds = new ArrayList<>();
    final Map<String, List<ClaimDecision>> decisions = new TreeMap<>();
    private final Map<String, String> runners = new TreeMap<>();
    long nowMillis = START_MILLIS;
    int openCount;

    ClaimCluster(TakeoverRule rule, ClaimLimits limits) {
        this.rule = rule;
        this.limits = limits;
        store = new FakeStore();
    }

    private ClaimCluster(ClaimCluster other) {
        rule = other.rule;
        limits = other.limits;
        store = other.store.copy();
        other.links.forEach((name, link) -> links.put(name, link.copy()));
        other.processes.forEach((name, claims) -> processes.put(name, claims.copy()));
        incarnations.putAll(other.incarnations);
        storeCalls.addAll(other.storeCalls);
        delayedWrites.addAll(other.delayedWrites);
        pausedHosts.addAll(other.pausedHosts);
        partitions.addAll(other.partitions);
        leavingHosts.addAll(other.leavingHosts);
        executedRequestIds.addAll(other.executedRequestIds);
        other.decisions.forEach((id, list) -> decisions.put(id, new ArrayList<>(list)));
        runners.putAll(other.runners);
        nowMillis = other.nowMillis;
        openCount = other.openCount;
    }

    static ClaimCluster of(String... hosts) {
        ClaimCluster cluster = new ClaimCluster(TakeoverRule.SURVIVOR_REQUIRED, ClaimLimits.defaults());
        List.of(hosts).forEach(cluster::start);
        cluster.run(5_000);
        return cluster;
    }

    ClaimCluster copy() {
        return new ClaimCluster(this);
    }

    Claims claims(String host) {
        return processes.get(host);
    }

    Set<String> liveHosts() {
        return processes.keySet();
    }

    /** Starts a process, with a higher incarnation if an earlier one has terminated. */
    void start(String host) {
        long incarnation = incarnations.merge(host, 1L, Long::sum);
        processes.put(
                host, Claims.of(new NodeIdentity(host, incarnation, Location.of("suva", "suva-hall")), limits, rule));
        for (String other : processes.keySet()) {
            if (!other.equals(host) && !isPartitioned(host, other)) {
                link(host, other).items.add(new FakeLink.Item.Up(incarnation));
                link(other, host).items.add(new FakeLink.Item.Up(incarnations.get(other)));
            }
        }
    }

    /** Terminates a process; messages that it sent are still delivered. */
    void crash(String host) {
        processes.remove(host);
        pausedHosts.remove(host);
        leavingHosts.remove(host);
        storeCalls.stream().filter(call -> call.host().equals(host)).forEach(call -> delayedWrites.add(call.command()));
        storeCalls.removeIf(call -> call.host().equals(host));
        for (String other : processes.keySet()) {
            link(other, host).items.clear();
            if (!isPartitioned(host, other)) {
                link(host, other).items.add(new FakeLink.Item.Down(true));
            }
        }
    }

    void pause(String host) {
        pausedHosts.add(host);
    }

    void resume(String host) {
        pausedHosts.remove(host);
    }

    void partition(String one, String other) {
        if (!partitions.add(pair(one, other))) {
            return;
        }
        for (FakeLink link : List.of(link(one, other), link(other, one))) {
            link.items.removeIf(item -> item instanceof FakeLink.Item.Message);
            link.items.add(new FakeLink.Item.Down(false));
        }
    }

    void partitionFromStore(String host) {
        partitions.add(pair(host, "store"));
    }

    void healPartitions() {
        Set<String> previousPartitions = new TreeSet<>(partitions);
        partitions.clear();
        for (FakeLink link : links.values()) {
            if (previousPartitions.contains(pair(link.from, link.to)) && processes.containsKey(link.from)) {
                link.items.add(new FakeLink.Item.Up(incarnations.get(link.from)));
            }
        }
    }

    void repairAll() {
        pausedHosts.clear();
        healPartitions();
    }

    /** Terminates the leaving processes that may stop. */
    void stopLeftHosts() {
        List<String> finished =
                leavingHosts.stream().filter(host -> claims(host).hasLeft()).toList();
        finished.forEach(this::crash);
    }

    void updateHostList(HostList list) {
        processes.forEach((host, claims) -> perform(host, claims.hostListUpdated(list, nowMillis)));
    }

    boolean isLeaving(String host) {
        return leavingHosts.contains(host);
    }

    void leave(String host) {
        leavingHosts.add(host);
        perform(host, processes.get(host).leave(nowMillis));
    }

    void open(String host, ClaimKey key, String requestId) {
        perform(host, processes.get(host).open(key, requestId, nowMillis));
    }

    void settle(String requestId, ClaimKey key, ClaimResult result) {
        String host = runners.remove(requestId);
        if (host != null && processes.containsKey(host)) {
            perform(host, processes.get(host).settle(key, requestId, result, nowMillis));
        }
    }

    boolean isRunning(String requestId) {
        String host = runners.get(requestId);
        return host != null && processes.containsKey(host) && !pausedHosts.contains(host);
    }

    /** Advances time by several ticks per second and delivers everything in flight after each. */
    void run(long millis) {
        long untilMillis = nowMillis + millis;
        while (nowMillis < untilMillis) {
            nowMillis += 100;
            tick();
            deliverAll();
        }
    }

    void tick() {
        for (String host : List.copyOf(processes.keySet())) {
            if (!pausedHosts.contains(host)) {
                dialTerminatedHosts(host);
                perform(host, processes.get(host).tick(nowMillis));
            }
        }
    }

    /** Simulates that a host keeps connecting to the hosts of its list and is refused where no process listens. */
    private void dialTerminatedHosts(String host) {
        for (String other : incarnations.keySet()) {
            if (!processes.containsKey(other) && !isPartitioned(host, other)) {
                perform(host, processes.get(host).disconnected(other, true, nowMillis));
            }
        }
    }

    void deliverAll() {
        for (int i = 0; i < 10_000; i++) {
            if (!deliverNext()) {
                return;
            }
        }
        throw new IllegalStateException("messages are still in flight after 10,000 deliveries");
    }

    /** Delivers the oldest item on the first link that has one, otherwise serves the oldest call to the store. */
    boolean deliverNext() {
        Option<FakeLink> next = nextLink();
        if (next.isDefined()) {
            deliver(next.get());
            return true;
        }
        return serveStoreCall(false);
    }

    Option<FakeLink> nextLink() {
        return Option.ofOptional(
                links.values().stream().filter(this::canDeliver).findFirst());
    }

    List<FakeLink> deliverableLinks() {
        return links.values().stream().filter(this::canDeliver).toList();
    }

    private boolean canDeliver(FakeLink link) {
        return !link.items.isEmpty() && processes.containsKey(link.to) && !pausedHosts.contains(link.to);
    }

    void deliver(FakeLink link) {
        FakeLink.Item item = link.items.poll();
        Claims claims = processes.get(link.to);
        if (item instanceof FakeLink.Item.Message message) {
            perform(link.to, claims.receive(link.from, message.incarnation(), message.content(), nowMillis));
        } else if (item instanceof FakeLink.Item.Up up) {
            perform(link.to, claims.connected(link.from, up.incarnation(), nowMillis));
        } else if (item instanceof FakeLink.Item.Down down) {
            perform(link.to, claims.disconnected(link.from, down.refused(), nowMillis));
        }
    }

    boolean hasStoreCall() {
        return storeCalls.stream().anyMatch(call -> !pausedHosts.contains(call.host()));
    }

    /** Serves the oldest call to the store, optionally losing its reply. */
    boolean serveStoreCall(boolean losesReply) {
        for (StoreCall call : storeCalls) {
            if (!pausedHosts.contains(call.host())) {
                storeCalls.remove(call);
                StoreReply reply = isPartitioned(call.host(), "store")
                        ? new StoreReply.Unavailable("the store is unreachable")
                        : store.apply(call.command());
                replyToStoreCall(call, losesReply ? new StoreReply.Unsure("no reply was received") : reply);
                return true;
            }
        }
        return false;
    }

    /** Loses the reply to the oldest call, which takes effect only with {@link #applyDelayedWrites()}. */
    void delayStoreWrite() {
        StoreCall call = storeCalls.stream()
                .filter(waiting -> !pausedHosts.contains(waiting.host()))
                .findFirst()
                .orElseThrow();
        storeCalls.remove(call);
        delayedWrites.add(call.command());
        replyToStoreCall(call, new StoreReply.Unsure("no reply was received"));
    }

    boolean hasDelayedWrites() {
        return !delayedWrites.isEmpty();
    }

    void applyDelayedWrites() {
        delayedWrites.forEach(store::apply);
        delayedWrites.clear();
    }

    private void replyToStoreCall(StoreCall call, StoreReply reply) {
        if (processes.containsKey(call.host()) && incarnations.get(call.host()) == call.incarnation()) {
            perform(call.host(), processes.get(call.host()).storeReplied(call.callId(), reply, nowMillis));
        }
    }

    private void perform(String host, List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Send send) {
                boolean delivered = processes.containsKey(send.host()) && !isPartitioned(host, send.host());
                if (delivered) {
                    link(host, send.host())
                            .items
                            .add(new FakeLink.Item.Message(incarnations.get(host), send.message()));
                }
            } else if (action instanceof ClaimAction.CallStore call) {
                storeCalls.add(new StoreCall(host, incarnations.get(host), call.callId(), call.command()));
            } else if (action instanceof ClaimAction.Decide decide) {
                recordDecision(host, decide);
            }
        }
    }

    private void recordDecision(String host, ClaimAction.Decide decide) {
        decisions.computeIfAbsent(decide.requestId(), id -> new ArrayList<>()).add(decide.decision());
        if (decide.decision() instanceof ClaimDecision.Run) {
            executedRequestIds.add(decide.requestId());
            runners.put(decide.requestId(), host);
        }
    }

    ClaimDecision decision(String requestId) {
        List<ClaimDecision> recorded = decisions.getOrDefault(requestId, List.of());
        if (recorded.size() != 1) {
            throw new AssertionError(requestId + " must have exactly one decision but has " + recorded);
        }
        return recorded.get(0);
    }

    private FakeLink link(String from, String to) {
        return links.computeIfAbsent(from + ">" + to, name -> new FakeLink(from, to));
    }

    boolean isPartitioned(String one, String other) {
        return partitions.contains(pair(one, other));
    }

    boolean hasPartitions() {
        return !partitions.isEmpty();
    }

    /** Returns the link of this cluster that corresponds to a link of another cluster. */
    FakeLink linkLike(FakeLink other) {
        return link(other.from, other.to);
    }

    boolean isPaused(String host) {
        return pausedHosts.contains(host);
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    /** Returns all state that determines future behaviour; equal keys imply equal behaviour. */
    String stateKey() {
        StringBuilder text = new StringBuilder();
        processes.forEach(
                (host, claims) -> text.append(host).append(claims.stateKey()).append('\n'));
        links.values().forEach(link -> text.append(link.from)
                .append(link.to)
                .append(link.items)
                .append('\n'));
        return text.append(incarnations)
                .append(storeCalls)
                .append(delayedWrites)
                .append(pausedHosts)
                .append(partitions)
                .append(leavingHosts)
                .append(store)
                .append(executedRequestIds)
                .append(decisions.keySet())
                .append(runners)
                .append(nowMillis)
                .append(openCount)
                .toString();
    }
}
