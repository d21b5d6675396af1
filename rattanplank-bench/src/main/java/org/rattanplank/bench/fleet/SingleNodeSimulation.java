package org.rattanplank.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.core.intent.Document;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.CentreBeat;
import org.rattanplank.schema.message.Heartbeat;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.RegionSummary;

/**
 * Simulates one real node in virtual time with the messages that peers, targets and other data centres would send to it.
 *
 * <p>Every message is encoded and decoded as on a link, and its length is recorded. The measured processor time is that
 * of the current thread in the node and the codec. Confined to one thread.
 */
final class SingleNodeSimulation {
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long REMOTE_HEARTBEAT_INTERVAL_MILLIS = 1_000;
    private static final long CONFIGURATION_CHANGE_INTERVAL_MILLIS = 86_400_000L / 3_700;
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int REGION_COUNT = 30;
    private static final Location LOCAL_LOCATION = Location.of("region-0", "centre-0");
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final ObjectMapper messagePack = new ObjectMapper(new MessagePackFactory());
    private final VirtualStore store = new VirtualStore();
    private final Map<String, Integer> storeCalls = new TreeMap<>();
    private final List<ListedHost> targets = new ArrayList<>();
    private final Set<String> peers = new TreeSet<>();
    private final Set<String> linkedRemoteHosts = new TreeSet<>();
    private final Map<String, Long> sentBytes = new HashMap<>();
    private final Map<String, Long> receivedBytes = new HashMap<>();
    private final int remoteDataCentres;
    private final int hostsPerDataCentre;
    private final int services;
    private final long summaryIntervalMillis;
    private Node node;
    private Document document;
    private long nowMillis = 1_000_000;
    private long cpuNanos;

    SingleNodeSimulation(int peerCount, int remoteDataCentres, int targetCount, int services, int accounts) {
        this.remoteDataCentres = remoteDataCentres;
        this.services = services;
        hostsPerDataCentre = peerCount + 1;
        summaryIntervalMillis = Math.max(1_000, Math.min(10_000, 250L * remoteDataCentres));
        node = Node.of(new NodeIdentity("host-0-0", nowMillis, LOCAL_LOCATION), Policy.COST, 1);
        for (int i = 1; i <= peerCount; i++) {
            peers.add("host-0-" + i);
        }
        for (int i = 0; i < targetCount; i++) {
            targets.add(new ListedHost(
                    "target-" + i, HostRole.TARGET, LOCAL_LOCATION, "127.0.0.1", 1, 0, "model-" + i % services, false));
        }
        document = FleetDocuments.of(1, REGION_COUNT, accounts, services);
        store.write(org.rattanplank.core.intent.ConfigurationManager.KEY, document.toText());
        handle(new Event.HostsListed(hostList()));
        peers.forEach(
                peer -> handle(new Event.PeerConnected(peer, 1, LOCAL_LOCATION.region(), LOCAL_LOCATION.dataCentre())));
    }

    /** Advances virtual time. */
    void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_INTERVAL_MILLIS) {
            receivePeerHeartbeats();
            receiveRemoteMessages();
            receiveTargetLoads();
            if (nowMillis % CONFIGURATION_CHANGE_INTERVAL_MILLIS < TICK_INTERVAL_MILLIS) {
                changeConfiguration();
            }
            handle(new Event.Ticked());
        }
    }

    void resetCounters() {
        cpuNanos = 0;
        sentBytes.clear();
        receivedBytes.clear();
        storeCalls.clear();
    }

    /** Releases the node, so that the memory that it retained can be determined. */
    void releaseNode() {
        node = null;
    }

    long cpuNanos() {
        return cpuNanos;
    }

    long bytesSent() {
        return sentBytes.values().stream().mapToLong(Long::longValue).sum();
    }

    long bytesReceived() {
        return receivedBytes.values().stream().mapToLong(Long::longValue).sum();
    }

    Map<String, Long> sentBytes() {
        return new TreeMap<>(sentBytes);
    }

    Map<String, Long> receivedBytes() {
        return new TreeMap<>(receivedBytes);
    }

    Map<String, Integer> storeCalls() {
        return storeCalls;
    }

    int linkedRemoteHostCount() {
        return linkedRemoteHosts.size();
    }

    private HostList hostList() {
        List<ListedHost> hosts = new ArrayList<>(targets);
        for (int dataCentre = 0; dataCentre <= remoteDataCentres; dataCentre++) {
            for (int host = 0; host < hostsPerDataCentre; host++) {
                hosts.add(new ListedHost(
                        "host-" + dataCentre + "-" + host,
                        HostRole.ENTRY,
                        locationOf(dataCentre),
                        "127.0.0.1",
                        1,
                        1,
                        "",
                        false));
            }
        }
        return new HostList(1, hosts);
    }

    private static Location locationOf(int dataCentre) {
        return dataCentre == 0
                ? LOCAL_LOCATION
                : Location.of("region-" + dataCentre % REGION_COUNT, "centre-" + dataCentre);
    }

    private void receivePeerHeartbeats() {
        if (nowMillis % HEARTBEAT_INTERVAL_MILLIS == 0) {
            for (String peer : peers) {
                receive(peer, new Heartbeat(1, document.generation(), false, 20, true, List.of()));
            }
        }
    }

    private void receiveRemoteMessages() {
        for (int dataCentre = 1; dataCentre <= remoteDataCentres; dataCentre++) {
            long offset = dataCentre * 37L % summaryIntervalMillis / TICK_INTERVAL_MILLIS * TICK_INTERVAL_MILLIS;
            boolean summaryDue = dataCentre <= REGION_COUNT
                    && nowMillis % summaryIntervalMillis / TICK_INTERVAL_MILLIS == offset / TICK_INTERVAL_MILLIS;
            boolean heartbeatDue =
                    nowMillis % REMOTE_HEARTBEAT_INTERVAL_MILLIS == offset % REMOTE_HEARTBEAT_INTERVAL_MILLIS;
            boolean linked = isLinkedTo(dataCentre);
            if (summaryDue) {
                String relay = peers.isEmpty()
                        ? "host-" + dataCentre + "-0"
                        : peers.iterator().next();
                receive(
                        isFirstRepresentativeFor(dataCentre) ? "host-" + dataCentre + "-0" : relay,
                        summary(dataCentre));
            }
            if (heartbeatDue && linked) {
                receive("host-" + dataCentre + "-0", new CentreBeat(document.generation()));
            }
        }
    }

    private RegionSummary summary(int dataCentre) {
        List<String> hosts = new ArrayList<>();
        for (int host = 0; host < hostsPerDataCentre; host++) {
            hosts.add("host-" + dataCentre + "-" + host);
        }
        Map<String, List<Long>> loads = new TreeMap<>();
        for (int service = 0; service < services; service++) {
            long running = (nowMillis / TICK_INTERVAL_MILLIS * 31 + service * 17L + dataCentre) % 20;
            loads.put("model-" + service, List.of(2L, 16L, running, 0L));
        }
        Location place = locationOf(dataCentre);
        return new RegionSummary(place.region(), place.dataCentre(), document.generation(), hosts, loads, List.of());
    }

    private void receiveTargetLoads() {
        for (int i = 0; i < targets.size(); i++) {
            if (nowMillis % 1_000 == i * TICK_INTERVAL_MILLIS % 1_000) {
                ListedHost target = targets.get(i);
                int running = (int) ((nowMillis / TICK_INTERVAL_MILLIS + i * 7L) % 12);
                handle(new Event.LoadReported(new TargetLoad(
                        target.name(), target.service(), List.of(), running, 0, 8, 30, 100_000, false, nowMillis)));
            }
        }
    }

    private void changeConfiguration() {
        long generation = document.generation() + 1;
        var files = new TreeMap<>(document.files());
        files.put(
                "90-retire.yaml",
                com.fasterxml.jackson.databind.node.JsonNodeFactory.instance
                        .objectNode()
                        .put("kind", "retire")
                        .put("name", "gone-" + generation));
        document = document.next(files, "c" + generation);
        var entry = store.write(org.rattanplank.core.intent.ConfigurationManager.KEY, document.toText());
        handle(new Event.StoreChanged(
                org.rattanplank.core.store.StoreOwner.CONFIGURATION,
                org.rattanplank.core.intent.ConfigurationManager.KEY,
                List.of(entry),
                entry.modRevision()));
    }

    private void receive(String host, PeerMessage message) {
        byte[] bytes = encode(message);
        receivedBytes.merge(message.getClass().getSimpleName(), (long) bytes.length + FRAME_HEADER_BYTES, Long::sum);
        long start = THREADS.getCurrentThreadCpuTime();
        PeerMessage decoded = decode(bytes);
        cpuNanos += THREADS.getCurrentThreadCpuTime() - start;
        handle(new Event.MessageReceived(host, 1, decoded));
    }

    private void handle(Event event) {
        long start = THREADS.getCurrentThreadCpuTime();
        List<Action> actions = node.handle(event, nowMillis);
        cpuNanos += THREADS.getCurrentThreadCpuTime() - start;
        actions.forEach(this::execute);
    }

    private void execute(Action action) {
        if (action instanceof Action.SendMessage send) {
            long start = THREADS.getCurrentThreadCpuTime();
            byte[] bytes = encode(send.message());
            cpuNanos += THREADS.getCurrentThreadCpuTime() - start;
            sentBytes.merge(
                    send.message().getClass().getSimpleName(), (long) bytes.length + FRAME_HEADER_BYTES, Long::sum);
        } else if (action instanceof Action.CallStore call) {
            storeCalls.merge(call.owner() + " " + call.command().getClass().getSimpleName(), 1, Integer::sum);
            if (!(call.command() instanceof StoreCommand.Watch)) {
                handle(new Event.StoreReplied(call.owner(), call.callId(), store.call(call.command(), nowMillis)));
            }
        } else if (action instanceof Action.KeepLinks keep) {
            updateLinks(keep.hosts());
        }
    }

    private void updateLinks(List<String> hosts) {
        Set<String> wantedHosts = new TreeSet<>(hosts);
        for (String previous : List.copyOf(linkedRemoteHosts)) {
            if (!wantedHosts.contains(previous)) {
                linkedRemoteHosts.remove(previous);
                handle(new Event.PeerLost(previous, false));
            }
        }
        for (String host : hosts) {
            int dataCentre = dataCentreIndexOf(host);
            if (dataCentre != 0 && linkedRemoteHosts.add(host)) {
                Location place = locationOf(dataCentre);
                handle(new Event.PeerConnected(host, 1, place.region(), place.dataCentre()));
            }
        }
    }

    private static int dataCentreIndexOf(String host) {
        return Integer.parseInt(host.split("-")[1]);
    }

    private boolean isLinkedTo(int dataCentre) {
        return linkedRemoteHosts.stream().anyMatch(host -> dataCentreIndexOf(host) == dataCentre);
    }

    /**
     * Returns whether this host is the first of the two representatives of its data centre, the one that region summaries
     * are sent to.
     */
    private boolean isFirstRepresentativeFor(int dataCentre) {
        Set<String> localHosts = new TreeSet<>(peers);
        localHosts.add("host-0-0");
        return RendezvousHashing.rank(localHosts, "speaker/centre-" + dataCentre)
                .get(0)
                .equals("host-0-0");
    }

    private byte[] encode(PeerMessage message) {
        try {
            return messagePack.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private PeerMessage decode(byte[] bytes) {
        try {
            return messagePack.readValue(bytes, PeerMessage.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
