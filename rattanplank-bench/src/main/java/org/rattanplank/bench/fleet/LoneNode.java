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
 * One real node among stand-ins that send it what peers and other data centres would send, in virtual time.
 *
 * <p>Every message is encoded and decoded as on a link, and counted with its length. The processor time is that of the
 * thread in the node and the codec. Confined to one thread.
 */
final class LoneNode {
    private static final long TICK_MILLIS = 100;
    private static final long BEAT_MILLIS = 500;
    private static final long REMOTE_BEAT_MILLIS = 1_000;
    private static final long CHANGE_MILLIS = 86_400_000L / 3_700;
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int REGIONS = 30;
    private static final Location HERE = Location.of("region-0", "centre-0");
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final ObjectMapper messagePack = new ObjectMapper(new MessagePackFactory());
    private final VirtualStore store = new VirtualStore();
    private final Map<String, Integer> storeCalls = new TreeMap<>();
    private final List<ListedHost> targets = new ArrayList<>();
    private final Set<String> peers = new TreeSet<>();
    private final Set<String> links = new TreeSet<>();
    private final Map<String, Long> sentBytes = new HashMap<>();
    private final Map<String, Long> receivedBytes = new HashMap<>();
    private final int centres;
    private final int hostsInCentre;
    private final int services;
    private final long loadGapMillis;
    private Node node;
    private Document document;
    private long nowMillis = 1_000_000;
    private long cpuNanos;

    LoneNode(int peerCount, int centres, int targetCount, int services, int accounts) {
        this.centres = centres;
        this.services = services;
        hostsInCentre = peerCount + 1;
        loadGapMillis = Math.max(1_000, Math.min(10_000, 250L * centres));
        node = Node.of(new NodeIdentity("host-0-0", nowMillis, HERE), Policy.COST, 1);
        for (int i = 1; i <= peerCount; i++) {
            peers.add("host-0-" + i);
        }
        for (int i = 0; i < targetCount; i++) {
            targets.add(new ListedHost(
                    "target-" + i, HostRole.TARGET, HERE, "127.0.0.1", 1, 0, "model-" + i % services, false));
        }
        document = FleetDocuments.of(1, REGIONS, accounts, services);
        store.write(org.rattanplank.core.intent.ConfigurationManager.KEY, document.toText());
        handle(new Event.HostsListed(list()));
        peers.forEach(peer -> handle(new Event.PeerConnected(peer, 1, HERE.region(), HERE.dataCentre())));
    }

    /** Lets time pass. */
    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
            fromPeers();
            fromOtherCentres();
            fromTargets();
            if (nowMillis % CHANGE_MILLIS < TICK_MILLIS) {
                change();
            }
            handle(new Event.Ticked());
        }
    }

    void startCounting() {
        cpuNanos = 0;
        sentBytes.clear();
        receivedBytes.clear();
        storeCalls.clear();
    }

    /** Forgets the node, so that the memory that it held can be seen. */
    void forgetNode() {
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

    int centresSpokenTo() {
        return links.size();
    }

    private HostList list() {
        List<ListedHost> hosts = new ArrayList<>(targets);
        for (int centre = 0; centre <= centres; centre++) {
            for (int host = 0; host < hostsInCentre; host++) {
                hosts.add(new ListedHost(
                        "host-" + centre + "-" + host, HostRole.ENTRY, placeOf(centre), "127.0.0.1", 1, 1, "", false));
            }
        }
        return new HostList(1, hosts);
    }

    private static Location placeOf(int centre) {
        return centre == 0 ? HERE : Location.of("region-" + centre % REGIONS, "centre-" + centre);
    }

    private void fromPeers() {
        if (nowMillis % BEAT_MILLIS == 0) {
            for (String peer : peers) {
                receive(peer, new Heartbeat(1, document.generation(), false, 20, true, List.of()));
            }
        }
    }

    private void fromOtherCentres() {
        for (int centre = 1; centre <= centres; centre++) {
            long offset = centre * 37L % loadGapMillis / TICK_MILLIS * TICK_MILLIS;
            boolean loadDue = centre <= REGIONS && nowMillis % loadGapMillis / TICK_MILLIS == offset / TICK_MILLIS;
            boolean beatDue = nowMillis % REMOTE_BEAT_MILLIS == offset % REMOTE_BEAT_MILLIS;
            boolean spoken = speaksTo(centre);
            if (loadDue) {
                String relay = peers.isEmpty()
                        ? "host-" + centre + "-0"
                        : peers.iterator().next();
                receive(speaksFirstTo(centre) ? "host-" + centre + "-0" : relay, summary(centre));
            }
            if (beatDue && spoken) {
                receive("host-" + centre + "-0", new CentreBeat(document.generation()));
            }
        }
    }

    private RegionSummary summary(int centre) {
        List<String> hosts = new ArrayList<>();
        for (int host = 0; host < hostsInCentre; host++) {
            hosts.add("host-" + centre + "-" + host);
        }
        Map<String, List<Long>> loads = new TreeMap<>();
        for (int service = 0; service < services; service++) {
            long running = (nowMillis / TICK_MILLIS * 31 + service * 17L + centre) % 20;
            loads.put("model-" + service, List.of(2L, 16L, running, 0L));
        }
        Location place = placeOf(centre);
        return new RegionSummary(place.region(), place.dataCentre(), document.generation(), hosts, loads, List.of());
    }

    private void fromTargets() {
        for (int i = 0; i < targets.size(); i++) {
            if (nowMillis % 1_000 == i * TICK_MILLIS % 1_000) {
                ListedHost target = targets.get(i);
                int running = (int) ((nowMillis / TICK_MILLIS + i * 7L) % 12);
                handle(new Event.LoadReported(new TargetLoad(
                        target.name(), target.service(), List.of(), running, 0, 8, 30, 100_000, false, nowMillis)));
            }
        }
    }

    private void change() {
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
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
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
            connect(keep.hosts());
        }
    }

    private void connect(List<String> hosts) {
        Set<String> wanted = new TreeSet<>(hosts);
        for (String old : List.copyOf(links)) {
            if (!wanted.contains(old)) {
                links.remove(old);
                handle(new Event.PeerLost(old, false));
            }
        }
        for (String host : hosts) {
            int centre = centreOf(host);
            if (centre != 0 && links.add(host)) {
                Location place = placeOf(centre);
                handle(new Event.PeerConnected(host, 1, place.region(), place.dataCentre()));
            }
        }
    }

    private static int centreOf(String host) {
        return Integer.parseInt(host.split("-")[1]);
    }

    private boolean speaksTo(int centre) {
        return links.stream().anyMatch(host -> centreOf(host) == centre);
    }

    /** Whether this host is the first of its data centre's two speakers, the one that load is told to. */
    private boolean speaksFirstTo(int centre) {
        Set<String> all = new TreeSet<>(peers);
        all.add("host-0-0");
        return RendezvousHashing.rank(all, "speaker/centre-" + centre).get(0).equals("host-0-0");
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
