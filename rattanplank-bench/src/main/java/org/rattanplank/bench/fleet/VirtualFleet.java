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
 * Many nodes in one process and in virtual time, with links of stated delay, cuts, a list of hosts and a store. It
 * simulates no requests. Deterministic for a seed; confined to one thread.
 */
public final class VirtualFleet {
    /** The delay between two hosts of one data centre. */
    public static final long LOCAL_DELAY_MILLIS = 1;

    /** The delay between two data centres, one way. */
    public static final long REMOTE_DELAY_MILLIS = 60;

    private static final long TICK_MILLIS = 100;
    private static final long REDIAL_MILLIS = 500;
    private static final long SILENT_LINK_MILLIS = 3_000;
    private static final long STORE_TIMEOUT_MILLIS = 2_000;

    private record Due(long atMillis, long sequence, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Host {
        final ListedHost listed;
        Node node;
        NodeIdentity identity;
        final Set<String> wanted = new TreeSet<>();
        final Set<String> linked = new TreeSet<>();

        Host(ListedHost listed) {
            this.listed = listed;
        }
    }

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Map<String, Host> hosts = new TreeMap<>();
    private final List<ListedHost> targets = new ArrayList<>();
    private final Set<Set<String>> cutCentres = new HashSet<>();
    private final Set<String> cutFromStore = new HashSet<>();
    private final Set<String> silentWatches = new HashSet<>();
    private final Map<String, String> watches = new TreeMap<>();
    private final Map<Long, Integer> storeCallsInSecond = new TreeMap<>();
    private final Map<String, Integer> storeCallsOfPart = new HashMap<>();
    private final VirtualStore store = new VirtualStore();
    private BiConsumer<String, Action.SendMessage> tap = (host, message) -> {};
    private boolean storeDown;
    private long storeDelayMillis = 3;
    private long nowMillis = 1_000_000;
    private long sequence;
    private long listRevision;

    /**
     * The time.
     *
     * @return the time
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * The platform's store.
     *
     * @return the platform's store
     */
    public VirtualStore store() {
        return store;
    }

    /**
     * Sees each message that a host sends.
     *
     * @param newTap what sees the sender and the message
     * @return this fleet
     */
    public VirtualFleet tap(BiConsumer<String, Action.SendMessage> newTap) {
        tap = newTap;
        return this;
    }

    /**
     * Adds an entry host to the list and starts it.
     *
     * @param name the host
     * @param region the region
     * @param dataCentre the data centre
     * @return this fleet
     */
    public VirtualFleet add(String name, String region, String dataCentre) {
        Location place = Location.of(region, dataCentre);
        hosts.put(name, new Host(new ListedHost(name, HostRole.ENTRY, place, "127.0.0.1", 1, 1, "", false)));
        return start(name);
    }

    /**
     * Adds a target to the list.
     *
     * @param name the host
     * @param service the service it runs
     * @param region the region
     * @param dataCentre the data centre
     * @return this fleet
     */
    public VirtualFleet target(String name, String service, String region, String dataCentre) {
        targets.add(new ListedHost(
                name, HostRole.TARGET, Location.of(region, dataCentre), "127.0.0.1", 1, 0, service, false));
        return this;
    }

    /**
     * Starts a new process of a host, which knows nothing.
     *
     * @param name the host
     * @return this fleet
     */
    public VirtualFleet start(String name) {
        Host host = hosts.get(name);
        host.identity = new NodeIdentity(name, nowMillis, host.listed.location());
        host.node = Node.of(host.identity, Policy.COST, name.hashCode());
        Node process = host.node;
        long offset = Math.floorMod(name.hashCode(), TICK_MILLIS);
        at(offset, () -> tick(name, process));
        return this;
    }

    /**
     * Ends a host's process at once.
     *
     * @param name the host
     * @return this fleet
     */
    public VirtualFleet kill(String name) {
        Host host = hosts.get(name);
        host.node = null;
        host.wanted.clear();
        host.linked.clear();
        watches.keySet().removeIf(key -> key.startsWith(name + " "));
        for (String other : hosts.keySet()) {
            breakLink(other, name, true, delayMillis(other, name));
        }
        return this;
    }

    /**
     * Lets every process read the list, after a lag.
     *
     * @param lagMillis how late each process reads it
     * @return this fleet
     */
    public VirtualFleet relist(long lagMillis) {
        listRevision++;
        List<ListedHost> all = new ArrayList<>(targets);
        hosts.values().forEach(host -> all.add(host.listed));
        HostList list = new HostList(listRevision, all);
        for (String name : hosts.keySet()) {
            at(lagMillis, () -> feed(name, new Event.HostsListed(list)));
        }
        return this;
    }

    /**
     * Lets one process read the list as it is now.
     *
     * @param name the host
     * @return this fleet
     */
    public VirtualFleet list(String name) {
        List<ListedHost> all = new ArrayList<>(targets);
        hosts.values().forEach(host -> all.add(host.listed));
        feed(name, new Event.HostsListed(new HostList(listRevision, all)));
        return this;
    }

    /**
     * Cuts two data centres from each other, in silence.
     *
     * @param one one data centre
     * @param other another data centre
     * @return this fleet
     */
    public VirtualFleet cut(String one, String other) {
        cutCentres.add(Set.of(one, other));
        for (Host left : hosts.values()) {
            for (Host right : hosts.values()) {
                if (isCut(left, right)) {
                    breakLink(left.listed.name(), right.listed.name(), false, SILENT_LINK_MILLIS);
                }
            }
        }
        return this;
    }

    /**
     * Ends all cuts between data centres.
     *
     * @return this fleet
     */
    public VirtualFleet heal() {
        cutCentres.clear();
        return this;
    }

    /**
     * Cuts a data centre from the store, or connects it again.
     *
     * @param dataCentre the data centre
     * @param isCut whether it is cut
     * @return this fleet
     */
    public VirtualFleet cutFromStore(String dataCentre, boolean isCut) {
        if (isCut) {
            cutFromStore.add(dataCentre);
        } else {
            cutFromStore.remove(dataCentre);
        }
        return this;
    }

    /**
     * Takes the store down or brings it back.
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
                at(1, () -> feed(host, new Event.WatchBroken(owner, prefix)));
            }
        }
        return this;
    }

    /**
     * Sets how long the store takes for each call.
     *
     * @param millis the time in milliseconds
     * @return this fleet
     */
    public VirtualFleet storeDelayMillis(long millis) {
        storeDelayMillis = millis;
        return this;
    }

    /**
     * Lets the watches that are open now go silent for good.
     *
     * @return this fleet
     */
    public VirtualFleet silenceWatches() {
        silentWatches.addAll(watches.keySet());
        return this;
    }

    /**
     * Writes a configuration document and tells the watches.
     *
     * @param document the document
     * @return this fleet
     */
    public VirtualFleet configure(String document) {
        StoreEntry entry = store.write(ConfigurationManager.KEY, document);
        watches.forEach((key, prefix) -> {
            String host = key.substring(0, key.indexOf(' '));
            boolean cut =
                    cutFromStore.contains(hosts.get(host).listed.location().dataCentre());
            if (ConfigurationManager.KEY.startsWith(prefix) && !silentWatches.contains(key) && !cut) {
                Event event =
                        new Event.StoreChanged(StoreOwner.CONFIGURATION, prefix, List.of(entry), entry.modRevision());
                at(storeDelayMillis, () -> feed(host, event));
            }
        });
        return this;
    }

    /**
     * Lets time pass.
     *
     * @param millis the time in milliseconds
     * @return this fleet
     */
    public VirtualFleet run(long millis) {
        long end = nowMillis + millis;
        while (!queue.isEmpty() && queue.peek().atMillis() <= end) {
            Due due = queue.poll();
            nowMillis = due.atMillis();
            due.work().run();
        }
        nowMillis = end;
        return this;
    }

    /**
     * Feeds an event to a host, if its process lives.
     *
     * @param name the host
     * @param event the event
     */
    public void feed(String name, Event event) {
        Node node = hosts.get(name).node;
        if (node != null) {
            node.handle(event, nowMillis).forEach(action -> carryOut(name, action));
        }
    }

    /**
     * The node of a host.
     *
     * @param name the host
     * @return the node of a host
     */
    public Node node(String name) {
        return hosts.get(name).node;
    }

    /**
     * The hosts whose process lives.
     *
     * @return the hosts whose process lives
     */
    public List<String> live() {
        return hosts.values().stream()
                .filter(host -> host.node != null)
                .map(host -> host.listed.name())
                .toList();
    }

    /**
     * The store's calls in each second of virtual time.
     *
     * @return the store's calls in each second of virtual time
     */
    public Map<Long, Integer> storeCallsInSecond() {
        return storeCallsInSecond;
    }

    /**
     * The store's calls by the part of the node that made them.
     *
     * @return the store's calls by the part of the node that made them
     */
    public Map<String, Integer> storeCallsOfPart() {
        return storeCallsOfPart;
    }

    private void tick(String name, Node process) {
        if (hosts.get(name).node == process) {
            feed(name, new Event.Ticked());
            at(TICK_MILLIS, () -> tick(name, process));
        }
    }

    private void carryOut(String name, Action action) {
        if (action instanceof Action.SendMessage send) {
            tap.accept(name, send);
            send(name, send);
        } else if (action instanceof Action.CallStore call) {
            callStore(name, call);
        } else if (action instanceof Action.KeepLinks keep) {
            Host host = hosts.get(name);
            host.wanted.clear();
            host.wanted.addAll(keep.hosts());
            host.linked.retainAll(host.wanted);
            host.wanted.stream()
                    .filter(other -> !host.linked.contains(other))
                    .forEach(other -> dial(name, other, host.node));
        }
    }

    private void send(String name, Action.SendMessage send) {
        Host host = hosts.get(name);
        if (!host.linked.contains(send.host()) || !canReach(name, send.host())) {
            return;
        }
        Event event = new Event.MessageReceived(name, host.identity.incarnation(), send.message());
        at(delayMillis(name, send.host()), () -> feed(send.host(), event));
    }

    private void dial(String name, String other, Node process) {
        Host host = hosts.get(name);
        boolean stale = host.node != process || !host.wanted.contains(other) || host.linked.contains(other);
        if (stale || !hosts.containsKey(other)) {
            return;
        }
        if (canReach(name, other)) {
            at(2 * delayMillis(name, other), () -> connected(name, other, process));
            return;
        }
        if (!isCut(host, hosts.get(other))) {
            at(2 * delayMillis(name, other), () -> feed(name, new Event.PeerLost(other, true)));
        }
        at(REDIAL_MILLIS, () -> dial(name, other, process));
    }

    private void connected(String name, String other, Node process) {
        Host host = hosts.get(name);
        if (host.node == process && canReach(name, other) && host.linked.add(other)) {
            NodeIdentity peer = hosts.get(other).identity;
            feed(
                    name,
                    new Event.PeerConnected(
                            other,
                            peer.incarnation(),
                            peer.location().region(),
                            peer.location().dataCentre()));
        }
    }

    private void breakLink(String name, String other, boolean refused, long afterMillis) {
        Host host = hosts.get(name);
        if (!host.linked.contains(other)) {
            return;
        }
        Node process = host.node;
        at(afterMillis, () -> {
            if (host.node == process && host.linked.remove(other)) {
                feed(name, new Event.PeerLost(other, refused));
                at(REDIAL_MILLIS, () -> dial(name, other, process));
            }
        });
    }

    private void callStore(String name, Action.CallStore call) {
        storeCallsInSecond.merge(nowMillis / 1_000, 1, Integer::sum);
        storeCallsOfPart.merge(call.owner().name(), 1, Integer::sum);
        if (storeDown) {
            reply(name, call, new StoreReply.Unavailable("down"), 1);
        } else if (cutFromStore.contains(hosts.get(name).listed.location().dataCentre())) {
            reply(name, call, new StoreReply.Unsure("no answer"), STORE_TIMEOUT_MILLIS);
        } else if (call.command() instanceof StoreCommand.Watch watch) {
            String key = name + " " + call.owner();
            watches.put(key, watch.prefix());
            silentWatches.remove(key);
        } else {
            Node process = hosts.get(name).node;
            at(storeDelayMillis / 2, () -> {
                StoreReply reply = store.call(call.command(), nowMillis);
                at(storeDelayMillis - storeDelayMillis / 2, () -> feedIfSame(name, process, call, reply));
            });
        }
    }

    private void reply(String name, Action.CallStore call, StoreReply reply, long afterMillis) {
        Node process = hosts.get(name).node;
        at(afterMillis, () -> feedIfSame(name, process, call, reply));
    }

    private void feedIfSame(String name, Node process, Action.CallStore call, StoreReply reply) {
        if (hosts.get(name).node == process) {
            feed(name, new Event.StoreReplied(call.owner(), call.callId(), reply));
        }
    }

    private boolean canReach(String name, String other) {
        return hosts.containsKey(other) && hosts.get(other).node != null && !isCut(hosts.get(name), hosts.get(other));
    }

    private boolean isCut(Host one, Host other) {
        String left = one.listed.location().dataCentre();
        String right = other.listed.location().dataCentre();
        return !left.equals(right) && cutCentres.contains(Set.of(left, right));
    }

    private long delayMillis(String one, String other) {
        String left = hosts.get(one).listed.location().dataCentre();
        return left.equals(hosts.get(other).listed.location().dataCentre()) ? LOCAL_DELAY_MILLIS : REMOTE_DELAY_MILLIS;
    }

    private void at(long afterMillis, Runnable work) {
        queue.add(new Due(nowMillis + afterMillis, sequence++, work));
    }
}
