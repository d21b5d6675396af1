package org.rattanplank.core.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.ConfigurationManager;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.Route;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.FakeStore;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Drives several nodes through a scripted session, and records their events and actions in a transcript.
 *
 * <p>Messages arrive at once and in order unless two hosts are partitioned; targets answer when the script ends their
 * attempts. Confined to one thread.
 */
final class Session {
    /** Start time of each session. */
    static final long START_MILLIS = 1_000_000;

    /** Interval between two ticks. */
    static final long TICK_MILLIS = 100;

    private static final long LOAD_REPORT_INTERVAL_MILLIS = 500;
    private static final int MAX_DELIVERIES = 100_000;

    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, NodeIdentity> identities = new TreeMap<>();
    private final Map<String, Set<String>> links = new TreeMap<>();
    private final Set<Set<String>> partitions = new HashSet<>();
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final Map<String, Attempt> forwards = new LinkedHashMap<>();
    private final List<ListedHost> listed = new ArrayList<>();
    private final Deque<Runnable> deliveries = new ArrayDeque<>();
    private final Map<String, List<Outcome>> outcomes = new LinkedHashMap<>();
    private final Transcript transcript = new Transcript();
    private final List<String> cancelled = new ArrayList<>();
    private final FakeStore store = new FakeStore();
    private FakeStore.Fault storeFault = FakeStore.Fault.NONE;
    private final Set<String> hostsWithoutStore = new HashSet<>();
    private long nowMillis = START_MILLIS;
    private long listRevision;

    private record Attempt(String node, String requestId, int number, Route route) {}

    /** Makes the platform's store unavailable or available again. */
    Session setStoreDown(boolean isDown) {
        storeFault = isDown ? FakeStore.Fault.DOWN : FakeStore.Fault.NONE;
        return this;
    }

    /** Returns the transcript so far. */
    Transcript transcript() {
        return transcript;
    }

    /** Returns the current time. */
    long nowMillis() {
        return nowMillis;
    }

    /** Returns a node by its host's name. */
    Node node(String host) {
        return nodes.get(host);
    }

    /** Returns all outcomes of a request at the host that received it from its caller; more than one is a fault. */
    List<Outcome> outcomes(String requestId) {
        return outcomes.getOrDefault(requestId, List.of());
    }

    /** Returns the only outcome of a request; none or more than one fails the test. */
    Outcome onlyOutcome(String requestId) {
        List<Outcome> known = outcomes(requestId);
        assertEquals(1, known.size(), () -> requestId + " has outcomes " + known);
        return known.get(0);
    }

    /** Returns the targets at which attempts of a request await an answer. */
    List<String> pendingTargets(String requestId) {
        return attempts.values().stream()
                .filter(attempt -> attempt.requestId().equals(requestId))
                .map(attempt -> attempt.route().peer())
                .toList();
    }

    /** Returns whether an attempt of this host for the request awaits a target's answer. */
    boolean hasAttemptAtTarget(String host, String requestId) {
        return attempts.containsKey(keyOf(host, requestId));
    }

    /** Returns the requests whose attempts at targets were cancelled; each may have run. */
    List<String> cancelled() {
        return List.copyOf(cancelled);
    }

    /** Adds a target to the platform's host list. */
    Session addTarget(String name, String service, String region, String dataCentre) {
        listed.add(new ListedHost(
                name, HostRole.TARGET, Location.of(region, dataCentre), "127.0.0.1", 1, 0, service, false));
        return this;
    }

    /** Starts an entry host, and adds it to the platform's host list if it is not listed. */
    Session start(String host, String region, String dataCentre) {
        Location location = Location.of(region, dataCentre);
        listed.removeIf(known -> known.name().equals(host));
        listed.add(new ListedHost(host, HostRole.ENTRY, location, "127.0.0.1", 1, 1, "", false));
        NodeIdentity identity = new NodeIdentity(host, nowMillis, location);
        identities.put(host, identity);
        nodes.put(host, Node.of(identity, Policy.COST, host.hashCode()));
        links.put(host, new HashSet<>());
        return this;
    }

    /** Applies a configuration document, and lets every running node read the host list and the document. */
    Session configure(String document) {
        store.write(ConfigurationManager.KEY, document);
        publishHostList();
        return advance(2_000);
    }

    /** Delivers a new version of the platform's host list to every node. */
    Session publishHostList() {
        listRevision++;
        HostList list = new HostList(listRevision, listed);
        nodes.keySet().forEach(host -> handleEvent(host, new Event.HostsListed(list)));
        return this;
    }

    /** Marks a host or target as leaving in the platform's host list. */
    Session listAsLeaving(String name) {
        listed.replaceAll(known -> known.name().equals(name)
                ? new ListedHost(
                        known.name(),
                        known.role(),
                        known.location(),
                        known.address(),
                        known.port(),
                        known.peerPort(),
                        known.service(),
                        true)
                : known);
        return publishHostList();
    }

    /** Advances the time in steps, with a tick of every node at each step. */
    Session advance(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            for (String host : List.copyOf(nodes.keySet())) {
                connectLinks(host);
                reportLoads(host);
                handleEvent(host, new Event.Ticked());
            }
        }
        return this;
    }

    /** Kills a host: its state is lost, and the results of its attempts are discarded. */
    Session kill(String host) {
        transcript.recordNote(nowMillis, host, "killed");
        nodes.remove(host);
        links.remove(host);
        attempts.values().removeIf(attempt -> attempt.node().equals(host));
        for (Map.Entry<String, Attempt> forward : List.copyOf(forwards.entrySet())) {
            if (forward.getKey().startsWith(host + "/")) {
                forwards.remove(forward.getKey());
                Failure failure = Failure.of(Step.FORWARD, host, "the link broke");
                end(forward.getValue(), new AttemptResult.Lost(failure, 0));
            }
        }
        breakLinksTo(host, true);
        drainDeliveries();
        return this;
    }

    /** Partitions two hosts from each other. */
    Session partition(String left, String right) {
        transcript.recordNote(nowMillis, left, "cut from " + right);
        partitions.add(Set.of(left, right));
        loseLink(left, right, false);
        loseLink(right, left, false);
        drainDeliveries();
        return this;
    }

    /** Partitions a host from the platform's store. */
    Session partitionFromStore(String host) {
        transcript.recordNote(nowMillis, host, "cut from the store");
        hostsWithoutStore.add(host);
        return this;
    }

    /** Removes all partitions between hosts. */
    Session healPartitions() {
        partitions.clear();
        return this;
    }

    /** Sends a caller's request to a host. */
    Session request(String host, Request request) {
        outcomes.putIfAbsent(request.id(), new ArrayList<>());
        handleEvent(host, new Event.CallerRequestReceived(request));
        return this;
    }

    /** Delivers an event to a host, and everything that follows from it. */
    Session handleEvent(String host, Event event) {
        deliverEvent(host, event);
        drainDeliveries();
        return this;
    }

    /** Ends the attempt of a request that awaits a target's answer. */
    Session end(String requestId, AttemptResult result) {
        Attempt attempt = attempts.values().stream()
                .filter(waiting -> waiting.requestId().equals(requestId))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no attempt waits for " + requestId));
        attempts.remove(keyOf(attempt.node(), requestId));
        end(attempt, result);
        drainDeliveries();
        return this;
    }

    private void reportLoads(String host) {
        if (nowMillis % LOAD_REPORT_INTERVAL_MILLIS != 0) {
            return;
        }
        for (ListedHost target : listed) {
            if (target.isTarget()
                    && target.location()
                            .region()
                            .equals(identities.get(host).location().region())) {
                handleEvent(host, new Event.LoadReported(loadOf(target)));
            }
        }
    }

    private TargetLoad loadOf(ListedHost target) {
        int running = (int) attempts.values().stream()
                .filter(attempt -> attempt.route().peer().equals(target.name()))
                .count();
        return new TargetLoad(
                target.name(), target.service(), List.of(), running, 0, 8, 50, 100_000, target.leaving(), nowMillis);
    }

    private void end(Attempt attempt, AttemptResult result) {
        if (nodes.containsKey(attempt.node())) {
            deliveries.add(() -> deliverEvent(
                    attempt.node(), new Event.AttemptEnded(attempt.requestId(), attempt.number(), result)));
        }
    }

    private void drainDeliveries() {
        int count = 0;
        while (!deliveries.isEmpty()) {
            deliveries.poll().run();
            if (++count > MAX_DELIVERIES) {
                throw new AssertionError("messages do not come to an end: " + transcript.tail());
            }
        }
    }

    private void deliverEvent(String host, Event event) {
        Node node = nodes.get(host);
        if (node == null) {
            // The host has terminated.
            return;
        }
        List<Action> actions = node.handle(event, nowMillis);
        transcript.record(nowMillis, host, event, actions);
        actions.forEach(action -> perform(host, action));
    }

    private void perform(String host, Action action) {
        if (action instanceof Action.SendMessage send) {
            deliver(host, send);
        } else if (action instanceof Action.CallStore call) {
            var reply = hostsWithoutStore.contains(host)
                    ? new org.rattanplank.core.store.StoreReply.Unavailable("cut off")
                    : store.call(call.command(), storeFault, nowMillis);
            deliveries.add(() -> deliverEvent(host, new Event.StoreReplied(call.owner(), call.callId(), reply)));
        } else if (action instanceof Action.StartAttempt start) {
            startAttempt(host, start);
        } else if (action instanceof Action.CancelAttempt cancel) {
            if (attempts.remove(keyOf(host, cancel.requestId())) != null) {
                cancelled.add(cancel.requestId());
            }
        } else if (action instanceof Action.Finish finish) {
            finish(host, finish);
        } else if (action instanceof Action.KeepLinks keep) {
            links.get(host).retainAll(keep.hosts());
            keep.hosts().forEach(other -> link(host, other));
        } else if (action instanceof Action.Stop) {
            nodes.remove(host);
            breakLinksTo(host, true);
        }
    }

    private void deliver(String host, Action.SendMessage send) {
        if (canReach(host, send.host())) {
            NodeIdentity sender = identities.get(host);
            deliveries.add(() ->
                    deliverEvent(send.host(), new Event.MessageReceived(host, sender.incarnation(), send.message())));
        }
    }

    private void startAttempt(String host, Action.StartAttempt start) {
        Attempt attempt = new Attempt(host, start.requestId(), start.attempt(), start.route());
        if (!(start.route() instanceof Route.ToHost toHost)) {
            attempts.put(keyOf(host, start.requestId()), attempt);
            return;
        }
        if (!canReach(host, toHost.host())) {
            end(attempt, new AttemptResult.NotRun(Failure.of(Step.FORWARD, toHost.host(), "no link"), 0));
            return;
        }
        forwards.put(keyOf(toHost.host(), start.requestId()), attempt);
        deliveries.add(() ->
                deliverEvent(toHost.host(), new Event.PeerRequestReceived(host, start.attempt(), start.request())));
    }

    private void finish(String host, Action.Finish finish) {
        Attempt forward = forwards.remove(keyOf(host, finish.requestId()));
        if (forward == null) {
            outcomes.computeIfAbsent(finish.requestId(), id -> new ArrayList<>())
                    .add(finish.outcome());
            return;
        }
        if (!canReach(host, forward.node())) {
            Failure failure = Failure.of(Step.FORWARD, host, "the link broke");
            end(forward, new AttemptResult.Lost(failure, 0));
            return;
        }
        end(forward, resultOf(finish.outcome()));
    }

    private static AttemptResult resultOf(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            return new AttemptResult.Completed(answered.answer(), answered.path());
        } else if (outcome instanceof Outcome.NotRun notRun) {
            return new AttemptResult.NotRun(notRun.failure(), notRun.retryAfterMillis());
        }
        return new AttemptResult.Lost(((Outcome.Unknown) outcome).failure(), 0);
    }

    private void connectLinks(String host) {
        if (!links.containsKey(host)) {
            return;
        }
        listed.stream()
                .filter(other -> !other.isTarget() && !other.name().equals(host))
                .forEach(other -> link(host, other.name()));
        drainDeliveries();
    }

    private void link(String host, String other) {
        if (canReach(host, other) && links.get(host).add(other)) {
            NodeIdentity peer = identities.get(other);
            deliveries.add(() -> deliverEvent(
                    host,
                    new Event.PeerConnected(
                            other,
                            peer.incarnation(),
                            peer.location().region(),
                            peer.location().dataCentre())));
        }
    }

    private void breakLinksTo(String host, boolean refused) {
        for (String other : List.copyOf(nodes.keySet())) {
            loseLink(other, host, refused);
        }
    }

    private void loseLink(String host, String other, boolean refused) {
        if (links.containsKey(host) && links.get(host).remove(other)) {
            deliveries.add(() -> deliverEvent(host, new Event.PeerLost(other, refused)));
        }
    }

    private boolean canReach(String host, String other) {
        return nodes.containsKey(other) && !partitions.contains(Set.of(host, other));
    }

    private static String keyOf(String host, String requestId) {
        return host + "/" + requestId;
    }
}
