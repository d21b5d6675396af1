package org.rattanplank.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;

import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.ConfigurationManager;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.core.store.StoreReply;

/**
 * Simulates many nodes in one process and in virtual time, with links of fixed delay, network partitions, a host list and
 * a store. It simulates no requests. Deterministic; confined to one thread.
 */
public final class VirtualFleet {
    /** The one-way delay between two hosts of one data centre. */
    public static final long LOCAL_DELAY_MILLIS = 1;

    /** The one-way delay between two data centres. */
    public static final long REMOTE_DELAY_MILLIS = 60;

    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long REDIAL_INTERVAL_MILLIS = 500;
    private static final long UNRESPONSIVE_LINK_TIMEOUT_MILLIS = 3_000;
    private static final long STORE_TIMEOUT_MILLIS = 2_000;

    private record ScheduledTask(long dueMillis, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(dueMillis, other.dueMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Host {
        final ListedHost entry;
        Node node;
        NodeIdentity identity;
        final Set<String> wantedHosts = new TreeSet<>();
        final Set<String> linkedHosts = new TreeSet<>();

        Host(ListedHost entry) {
            this.entry = entry;
        }
    }

    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private final Map<String, Host> hosts = new TreeMap<>();
    private final List<ListedHost> targets = new ArrayList<>();
    private final Set<Set<String>> partitionedPairs = new HashSet<>();
    private final Set<String> dataCentresWithoutStore = new HashSet<>();
    private final Set<String> unresponsiveWatches = new HashSet<>();
    private final Map<String, String> watches = new TreeMap<>();
    private final Map<Long, Integer> storeCallsBySecond = new TreeMap<>();
    private final Map<String, Integer> storeCallsByOwner = new HashMap<>();
    private final VirtualStore store = new VirtualStore();
    private BiConsumer<String, Action.SendMessage> messageListener = (host, message) -> {};
    private boolean storeDown;
    private long storeDelayMillis = 3;
    private long nowMillis = 1_000_000;
    private long sequence;
    private long listRevision;

    /**
     * Returns the virtual time.
     *
     * @return the time in milliseconds
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Returns the platform's store.
     *
     * @return the platform's store
     */
    public VirtualStore store() {
        return store;
    }

    /**
     * Sets the listener that receives each message that a host sends.
     *
     * @param newListener receives the sender and the message
     * @return this fleet
     */
    public VirtualFleet messageListener(BiConsumer<String, Action.SendMessage> newListener) {
        messageListener = newListener;
        return this;
    }

    /**
     * Adds an entry host to the host list and starts it.
     *
     * @param name the host
     * @param region the region
     * @param dataCentre the data centre
     * @return this fleet
     */
    public VirtualFleet addHost(String name, String region, String dataCentre) {
        Location place = Location.of(region, dataCentre);
        hosts.put(name, new Host(new ListedHost(name, HostRole.ENTRY, place, "127.0.0.1", 1, 1, "", false)));
        return start(name);
    }

    /**
     * Adds a target to the host list.
     *
     * @param name the host
     * @param service the service that the target runs
     * @param region the region
     * @param dataCentre the data centre
     * @return this fleet
     */
    public VirtualFleet addTarget(String name, String service, String region, String dataCentre) {
        targets.add(new ListedHost(
                name, HostRole.TARGET, Location.of(region, dataCentre), "127.0.0.1", 1, 0, service, false));
        return this;
    }

    /**
     * Starts a new process of a host, without any state.
     *
     * @param name the host
     * @return this fleet
     */
    public VirtualFleet start(String name) {
        Host host = hosts.get(name);
        host.identity = new NodeIdentity(name, nowMillis, host.entry.location());
        host.node = Node.of(host.identity, Policy.COST, name.hashCode());
        Node process = host.node;
        long offset = Math.floorMod(name.hashCode(), TICK_INTERVAL_MILLIS);
        schedule(offset, () -> tick(name, process));
        return this;
    }

    /**
     * Kills the process of a host.
     *
     * @param name the host
     * @return this fleet
     */
    public VirtualFleet kill(String name) {
        Host host = hosts.get(name);
        host.node = null;
        host.wantedHosts.clear();
        host.linkedHosts.clear();
        watches.keySet().removeIf(key -> key.startsWith(name + " "));
        for (String other : hosts.keySet()) {
            scheduleDisconnect(other, name, true, linkDelayMillis(other, name));
        }
        return this;
    }

    /**
     * Publishes a new revision of the host list, which every process receives after a lag.
     *
     * @param lagMillis the delay after which each process receives it
     * @return this fleet
     */
    public VirtualFleet publishHostList(long lagMillis) {
        listRevision++;
        List<ListedHost> entries = new ArrayList<>(targets);
        hosts.values().forEach(host -> entries.add(host.entry));
        HostList list = new HostList(listRevision, entries);
        for (String name : hosts.keySet()) {
            schedule(lagMillis, () -> deliver(name, new Event.HostsListed(list)));
        }
        return this;
    }

    /**
     * Delivers the current hosts to one process, under the last published revision.
     *
     * @param name the host
     * @return this fleet
     */
    public VirtualFleet deliverHostList(String name) {
        List<ListedHost> entries = new ArrayList<>(targets);
        hosts.values().forEach(host -> entries.add(host.entry));
        deliver(name, new Event.HostsListed(new HostList(listRevision, entries)));
        return this;
    }

    /**
     * Partitions two data centres from each other; their links become unresponsive and are closed after a timeout.
     *
     * @param one one data centre
     * @param other another data centre
     * @return this fleet
     */
    public VirtualFleet partition(String one, String other) {
        partitionedPairs.add(Set.of(one, other));
        for (Host left : hosts.values()) {
            for (Host right : hosts.values()) {
                if (isPartitioned(left, right)) {
                    scheduleDisconnect(left.entry.name(), right.entry.name(), false, UNRESPONSIVE_LINK_TIMEOUT_MILLIS);
                }
            }
        }
        return this;
    }

    /**
     * Ends all partitions between data centres.
     *
     * @return this fleet
     */
    public VirtualFleet endPartitions() {
        partitionedPairs.clear();
        return this;
    }

    /**
     * Partitions a data centre from the store, or ends that partition.
     *
     * @param dataCentre the data centre
     * @param isPartitioned whether it is partitioned
     * @return this fleet
     */
    public VirtualFleet storePartitioned(String dataCentre, boolean isPartitioned) {
        if (isPartitioned) {
            dataCentresWithoutStore.add(dataCentre);
        } else {
            dataCentresWithoutStore.remove(dataCentre);
        }
        return this;
    }

    /**
     * Sets whether the store is down; an outage breaks all watches.
     *
     * @param isDown whether it is down
     * @return this fleet
     */
    public VirtualFleet storeDown(boolean isDown) {
        storeDown = isDown;
        if (isDown) {
            for (String key : List.copyOf(watches.keySet())) {
                String host = key.substring(0, key.indexOf(' '));
                StoreOwner owner = StoreOwner.valueOf(key.substring(key.indexOf(' ') + 1));
                String prefix = watches.remove(key);
                schedule(1, () -> deliver(host, new Event.WatchBroken(owner, prefix)));
            }
        }
        return this;
    }

    /**
     * Sets the duration of each call to the store.
     *
     * @param millis the time in milliseconds
     * @return this fleet
     */
    public VirtualFleet storeDelayMillis(long millis) {
        storeDelayMillis = millis;
        return this;
    }

    /**
     * Makes the currently open watches permanently unresponsive.
     *
     * @return this fleet
     */
    public VirtualFleet makeWatchesUnresponsive() {
        unresponsiveWatches.addAll(watches.keySet());
        return this;
    }

    /**
     * Writes a configuration document to the store and notifies the watches.
     *
     * @param document the document
     * @return this fleet
     */
    public VirtualFleet writeConfiguration(String document) {
        StoreEntry entry = store.write(ConfigurationManager.KEY, document);
        watches.forEach((key, prefix) -> {
            String host = key.substring(0, key.indexOf(' '));
            boolean partitioned = dataCentresWithoutStore.contains(
                    hosts.get(host).entry.location().dataCentre());
            if (ConfigurationManager.KEY.startsWith(prefix) && !unresponsiveWatches.contains(key) && !partitioned) {
                Event event =
                        new Event.StoreChanged(StoreOwner.CONFIGURATION, prefix, List.of(entry), entry.modRevision());
                schedule(storeDelayMillis, () -> deliver(host, event));
            }
        });
        return this;
    }

    /**
     * Advances virtual time and executes the tasks that become due.
     *
     * @param millis the time in milliseconds
     * @return this fleet
     */
    public VirtualFleet advance(long millis) {
        long end = nowMillis + millis;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().dueMillis() <= end) {
            ScheduledTask next = scheduledTasks.poll();
            nowMillis = next.dueMillis();
            next.task().run();
        }
        nowMillis = end;
        return this;
    }

    /**
     * Delivers an event to a host if its process is running.
     *
     * @param name the host
     * @param event the event
     */
    public void deliver(String name, Event event) {
        Node node = hosts.get(name).node;
        if (node != null) {
            node.handle(event, nowMillis).forEach(action -> execute(name, action));
        }
    }

    /**
     * Returns the node of a host.
     *
     * @param name the host
     * @return the node, or null if the process is not running
     */
    public Node node(String name) {
        return hosts.get(name).node;
    }

    /**
     * Returns the hosts whose process is running.
     *
     * @return the names of the hosts
     */
    public List<String> runningHosts() {
        return hosts.values().stream()
                .filter(host -> host.node != null)
                .map(host -> host.entry.name())
                .toList();
    }

    /**
     * Returns the number of store calls in each second of virtual time.
     *
     * @return the mutable counts by second
     */
    public Map<Long, Integer> storeCallsBySecond() {
        return storeCallsBySecond;
    }

    /**
     * Returns the number of store calls by the component of the node that made them.
     *
     * @return the mutable counts by name of the store owner
     */
    public Map<String, Integer> storeCallsByOwner() {
        return storeCallsByOwner;
    }

    private void tick(String name, Node process) {
        if (hosts.get(name).node == process) {
            deliver(name, new Event.Ticked());
            schedule(TICK_INTERVAL_MILLIS, () -> tick(name, process));
        }
    }

    private void execute(String name, Action action) {
        if (action instanceof Action.SendMessage send) {
            messageListener.accept(name, send);
            send(name, send);
        } else if (action instanceof Action.CallStore call) {
            callStore(name, call);
        } else if (action instanceof Action.KeepLinks keep) {
            Host host = hosts.get(name);
            host.wantedHosts.clear();
            host.wantedHosts.addAll(keep.hosts());
            host.linkedHosts.retainAll(host.wantedHosts);
            host.wantedHosts.stream()
                    .filter(other -> !host.linkedHosts.contains(other))
                    .forEach(other -> dial(name, other, host.node));
        }
    }

    private void send(String name, Action.SendMessage send) {
        Host host = hosts.get(name);
        if (!host.linkedHosts.contains(send.host()) || !canReach(name, send.host())) {
            return;
        }
        Event event = new Event.MessageReceived(name, host.identity.incarnation(), send.message());
        schedule(linkDelayMillis(name, send.host()), () -> deliver(send.host(), event));
    }

    private void dial(String name, String other, Node process) {
        Host host = hosts.get(name);
        boolean stale = host.node != process || !host.wantedHosts.contains(other) || host.linkedHosts.contains(other);
        if (stale || !hosts.containsKey(other)) {
            return;
        }
        if (canReach(name, other)) {
            schedule(2 * linkDelayMillis(name, other), () -> completeConnection(name, other, process));
            return;
        }
        if (!isPartitioned(host, hosts.get(other))) {
            schedule(2 * linkDelayMillis(name, other), () -> deliver(name, new Event.PeerLost(other, true)));
        }
        schedule(REDIAL_INTERVAL_MILLIS, () -> dial(name, other, process));
    }

    private void completeConnection(String name, String other, Node process) {
        Host host = hosts.get(name);
        if (host.node == process && canReach(name, other) && host.linkedHosts.add(other)) {
            NodeIdentity peer = hosts.get(other).identity;
            deliver(
                    name,
                    new Event.PeerConnected(
                            other,
                            peer.incarnation(),
                            peer.location().region(),
                            peer.location().dataCentre()));
        }
    }

    private void scheduleDisconnect(String name, String other, boolean refused, long afterMillis) {
        Host host = hosts.get(name);
        if (!host.linkedHosts.contains(other)) {
            return;
        }
        Node process = host.node;
        schedule(afterMillis, () -> {
            if (host.node == process && host.linkedHosts.remove(other)) {
                deliver(name, new Event.PeerLost(other, refused));
                schedule(REDIAL_INTERVAL_MILLIS, () -> dial(name, other, process));
            }
        });
    }

    private void callStore(String name, Action.CallStore call) {
        storeCallsBySecond.merge(nowMillis / 1_000, 1, Integer::sum);
        storeCallsByOwner.merge(call.owner().name(), 1, Integer::sum);
        if (storeDown) {
            reply(name, call, new StoreReply.Unavailable("down"), 1);
        } else if (dataCentresWithoutStore.contains(
                hosts.get(name).entry.location().dataCentre())) {
            reply(name, call, new StoreReply.Unsure("no answer"), STORE_TIMEOUT_MILLIS);
        } else if (call.command() instanceof StoreCommand.Watch watch) {
            String key = name + " " + call.owner();
            watches.put(key, watch.prefix());
            unresponsiveWatches.remove(key);
        } else {
            Node process = hosts.get(name).node;
            schedule(storeDelayMillis / 2, () -> {
                StoreReply reply = store.call(call.command(), nowMillis);
                schedule(
                        storeDelayMillis - storeDelayMillis / 2,
                        () -> deliverReplyIfSameProcess(name, process, call, reply));
            });
        }
    }

    private void reply(String name, Action.CallStore call, StoreReply reply, long afterMillis) {
        Node process = hosts.get(name).node;
        schedule(afterMillis, () -> deliverReplyIfSameProcess(name, process, call, reply));
    }

    private void deliverReplyIfSameProcess(String name, Node process, Action.CallStore call, StoreReply reply) {
        if (hosts.get(name).node == process) {
            deliver(name, new Event.StoreReplied(call.owner(), call.callId(), reply));
        }
    }

    private boolean canReach(String name, String other) {
        return hosts.containsKey(other)
                && hosts.get(other).node != null
                && !isPartitioned(hosts.get(name), hosts.get(other));
    }

    private boolean isPartitioned(Host one, Host other) {
        String left = one.entry.location().dataCentre();
        String right = other.entry.location().dataCentre();
        return !left.equals(right) && partitionedPairs.contains(Set.of(left, right));
    }

    private long linkDelayMillis(String one, String other) {
        String left = hosts.get(one).entry.location().dataCentre();
        return left.equals(hosts.get(other).entry.location().dataCentre()) ? LOCAL_DELAY_MILLIS : REMOTE_DELAY_MILLIS;
    }

    private void schedule(long afterMillis, Runnable task) {
        scheduledTasks.add(new ScheduledTask(nowMillis + afterMillis, sequence++, task));
    }
}
