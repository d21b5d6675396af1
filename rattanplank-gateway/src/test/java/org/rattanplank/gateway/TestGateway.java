package org.rattanplank.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.CallerBounds;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.Mechanisms;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.gateway.TargetRun;
import org.rattanplank.core.gateway.WeightedService;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.intent.Document;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.store.ClusterFact;

/** A gateway of one region with a store in memory. */
final class TestGateway implements AutoCloseable {
    static final HeaderNames NAMES = new HeaderNames(
            "Request-Id",
            "Time-Left",
            "Last-Event-Id",
            "Expected",
            "Not-Run",
            "Copy-From",
            "Urgency",
            "Tokens",
            "Parts",
            "Hint",
            Set.of("Expected", "Urgency"));
    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final String DATA_CENTRE = "suva-hall";
    private static final long GRACE_MILLIS = 4_000;
    private static final long END_TIMEOUT_MILLIS = 20_000;
    private static final long KV_CACHE_TOKENS = 400_000;
    private static final int MAX_POLLS = 1_000;

    /** Each periodic step of a gateway is due within this time. */
    private static final long TICKS_DUE_MILLIS = 400;

    private static final long POLL_INTERVAL_NANOS = 10_000_000;

    private static final AtomicInteger INSTANCES = new AtomicInteger();
    private static final int FIRST_PORT = 18_000;
    private static final int BYTE_VALUES = 250;

    private final String ip = "127." + (1 + ProcessHandle.current().pid() / BYTE_VALUES % BYTE_VALUES) + "."
            + (1 + ProcessHandle.current().pid() % BYTE_VALUES) + "." + INSTANCES.incrementAndGet();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private int nextPort = FIRST_PORT;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final TestStore store = new TestStore(group.next());
    private final CountDownLatch ended = new CountDownLatch(1);
    private final InetSocketAddress callers = ownAddress();
    private final InetSocketAddress entryHosts = ownAddress();
    private final Gateway gateway;
    private final InetSocketAddress metrics = ownAddress();
    private final InetSocketAddress peers = ownAddress();
    private final Queue<TestCaller> openCallers = new ConcurrentLinkedQueue<>();
    private long version;
    private int targets;

    TestGateway() throws IOException {
        this(GRACE_MILLIS);
    }

    /** Makes a gateway whose stop may take so long. */
    TestGateway(long graceMillis) throws IOException {
        GatewaySettings settings = new GatewaySettings(
                "h1",
                Place.of("suva", DATA_CENTRE),
                Map.of(DATA_CENTRE, "suva"),
                callers,
                ownAddress(),
                entryHosts,
                peers,
                metrics,
                ownAddress(),
                LINK_BYTES_PER_MILLI,
                new SharedLimits(graceMillis, 0.2, 160, 10_000, 1, 1_000),
                Mechanisms.ALL);
        EventLog log = EventLog.start("h1", logged, System::nanoTime);
        gateway = Gateway.of(settings, new AdapterNames(NAMES, store, new Directory()), group, store, log, 1);
        gateway.start();
    }

    /** Puts a configuration in force with one route, of the path /a/, and waits for it. */
    TestGateway configure(RouteKind kind, boolean resumable, int maxAttempts) throws IOException {
        return configure(kind, resumable, maxAttempts, 0);
    }

    /** Puts a configuration in force with one route, of streams of a model engine that may be resumed. */
    TestGateway configureModel() throws IOException {
        return configure(RouteKind.STREAM, true, 2, KV_CACHE_TOKENS);
    }

    private TestGateway configure(RouteKind kind, boolean resumable, int maxAttempts, long memoryTokens)
            throws IOException {
        version++;
        RouteRule route = new RouteRule(
                "r" + version,
                "desk.example",
                "/a/",
                kind,
                resumable,
                List.of(new WeightedService("desk", 1)),
                maxAttempts,
                10_000,
                1_000,
                400,
                1,
                Set.of());
        store.put(
                "configuration",
                new ClusterFact.Configured(GatewayConfiguration.of(
                        version,
                        List.of(route),
                        List.of(new ServiceRule("desk", 50, 0, 0, 0, 0, memoryTokens)),
                        new CallerBounds(4_096, 10_000, 3_000, 15_000))),
                false);
        awaitMetric("configuration_version " + version);
        return this;
    }

    /** Enters a target and waits until the gateway knows it. */
    TestGateway target(String id, int port) throws IOException {
        enterTarget(new TargetRun(id, 0), port);
        targets++;
        awaitMetric("targets " + targets);
        return this;
    }

    /** Waits until the gateway knows so many targets. */
    void awaitTargets(int count) throws IOException {
        awaitMetric("targets " + count);
    }

    /** Puts what can't be read where a target enters itself. */
    void putUnreadableTarget(String id) {
        store.put("targets/" + id, new ClusterFact.Unreadable(Option.some(id), "no address"), false);
    }

    /** Waits until so many items could not be read. */
    void awaitUnreadable(int count) throws IOException {
        awaitMetric("unreadable_items_total " + count);
    }

    /** Counts the lines of the log that hold a text. */
    long countLogged(String text) {
        return logged.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(text))
                .count();
    }

    /** Enters a run of a target. */
    void enterTarget(TargetRun run, int port) {
        TargetEntry entry = new TargetEntry(run, "desk", "127.0.0.1", port, DATA_CENTRE, 4, false, 0);
        store.put("targets/" + run.id(), new ClusterFact.TargetEntered(entry), false);
    }

    /** Waits for the line that tells the end of a request, and returns all lines of it. */
    List<String> linesOf(String requestId) {
        String own = "\"requestId\":\"" + requestId + "\"";
        for (int i = 0; i < MAX_POLLS; i++) {
            List<String> lines = logged.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains(own))
                    .toList();
            if (lines.stream().anyMatch(line -> line.contains("\"event\":\"ended\""))) {
                return lines;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("no end of " + requestId + " in " + logged.toString(StandardCharsets.UTF_8));
    }

    /** Puts an older version where the configuration is kept, as a host that was cut off would tell it. */
    void putOlderConfiguration(long olderVersion) {
        GatewayConfiguration older = GatewayConfiguration.of(olderVersion, List.of(), List.of(), CallerBounds.DEFAULTS);
        store.put("configuration", new ClusterFact.Configured(older), false);
    }

    long configurationVersion() throws IOException {
        for (int i = 1; ; i++) {
            if (metrics().contains("configuration_version " + i + "\n")) {
                return i;
            }
        }
    }

    /** Applies a folder whose one intent retires a host, and waits until it is in force. */
    void retire(String host) throws IOException {
        TreeMap<String, JsonNode> files = new TreeMap<>();
        files.put(
                "50-retire.yaml",
                JsonNodeFactory.instance.objectNode().put("kind", "retire").put("name", host));
        store.put("intents", new ClusterFact.IntentsApplied(Document.empty().next(files, "change")), false);
        awaitMetric("intents_generation 1");
    }

    /** Connects a caller, which stays until it closes or the test ends: the collector closes one that nobody holds. */
    TestCaller caller() throws IOException {
        TestCaller caller = new TestCaller(callers);
        openCallers.add(caller);
        return caller;
    }

    /** Lets the store answer nothing from now on. */
    void loseStore() {
        store.down(true);
    }

    /** Waits until the gateway has noticed that the store does not answer. */
    void awaitStoreLost() {
        awaitLogged("\"event\":\"store_lost\"");
    }

    /** Waits until the log holds a text. */
    void awaitLogged(String text) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (logged.toString(StandardCharsets.UTF_8).contains(text)) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("never logged: " + text + " in " + logged.toString(StandardCharsets.UTF_8));
    }

    /** Keeps the event loop from all work until what is given back is counted down. */
    CountDownLatch blockEventLoop() {
        return blockEventLoop(new CountDownLatch(1));
    }

    /** The same; tells when it has begun. */
    CountDownLatch blockEventLoop(CountDownLatch begun) {
        CountDownLatch released = new CountDownLatch(1);
        group.next().execute(() -> {
            begun.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return released;
    }

    /** Links to it as a host of another region. */
    TestPeer peer() throws IOException {
        return new TestPeer(peers);
    }

    /** Links to it as another host of its region. */
    TestPeer sameRegionPeer(String name) throws IOException {
        return new TestPeer(peers, name, Place.of("suva", DATA_CENTRE));
    }

    /** Links to it as many other hosts of its region, which read whatever comes. */
    List<TestPeer> sameRegionPeers(int count) throws IOException {
        List<TestPeer> neighbours = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestPeer neighbour = sameRegionPeer("n" + i);
            neighbour.readOn();
            neighbours.add(neighbour);
        }
        return neighbours;
    }

    /** Puts something of a size into the store that says nothing to a gateway. */
    void putBytes(String key, int bytes) {
        store.put(key, new byte[bytes], new ClusterFact.Unreadable(Option.none(), "a test's bytes"), false);
    }

    /** Puts bytes into the store that can't be packed. */
    void putIncompressible(String key, int bytes) {
        byte[] noise = new byte[bytes];
        new Random(bytes).nextBytes(noise);
        store.put(key, noise, new ClusterFact.Unreadable(Option.none(), "a test's bytes"), false);
    }

    /** How often the store was asked for all that it holds. */
    long storeLists() {
        return store.lists();
    }

    /** Reads a metric. */
    long metric(String name) throws IOException {
        String start = "rattanplank_gateway_" + name + " ";
        return metrics()
                .lines()
                .filter(line -> line.startsWith(start))
                .mapToLong(line -> Long.parseLong(line.substring(start.length())))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no metric " + name));
    }

    /** Asks for the hosts that callers should use. */
    String entryHosts() throws IOException {
        try (TestCaller caller = new TestCaller(entryHosts)) {
            return caller.send("GET /hosts HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .readAll();
        }
    }

    /** Asks the gateway to stop and waits until it has heard it. */
    void stop() throws IOException {
        gateway.stop(ended::countDown);
        while (entryHosts().contains("127.")) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /**
     * Asks the gateway to stop and lets its event loop stand still at once. It stands still once more between its next
     * look at its sockets and whatever was due meanwhile, as a process does that gets no time just then.
     */
    EventLoopPause stopAndPause(long standstillMillis) throws InterruptedException {
        EventLoopPause standstill = new EventLoopPause();
        CountDownLatch begun = new CountDownLatch(1);
        EventLoop loop = group.next();
        loop.execute(() -> {
            // Due before all that the stop has yet to do.
            loop.schedule(standstill::pauseAfterLastRead, 0, TimeUnit.MILLISECONDS);
            gateway.stop(ended::countDown);
            loop.execute(() -> {
                begun.countDown();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(standstillMillis));
            });
        });
        begun.await();
        return standstill;
    }

    /**
     * Lets the event loop stand still from after a look at its sockets until what is given back is counted down, with its
     * periodic steps due right after.
     */
    CountDownLatch pauseBeforeTimers() throws InterruptedException {
        EventLoopPause standstill = new EventLoopPause();
        EventLoop loop = group.next();
        loop.execute(() -> {
            loop.schedule(standstill::pauseAfterLastRead, 0, TimeUnit.MILLISECONDS);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICKS_DUE_MILLIS));
        });
        standstill.awaitLastRead();
        return standstill.resumed;
    }

    /** The second time for which the event loop stands still. */
    static final class EventLoopPause {
        private final CountDownLatch lastRead = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);

        /** Waits until the event loop has read for the last time before its timers run. */
        void awaitLastRead() throws InterruptedException {
            lastRead.await();
        }

        /** Lets the event loop go on. */
        void resume() {
            resumed.countDown();
        }

        private void pauseAfterLastRead() {
            lastRead.countDown();
            try {
                resumed.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Whether the process would have ended by now. */
    boolean hasEnded() {
        return ended.getCount() == 0;
    }

    void awaitEnded() throws InterruptedException {
        if (!ended.await(END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the gateway did not end");
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private String metrics() throws IOException {
        try (TestCaller caller = new TestCaller(metrics)) {
            return caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .readAll();
        }
    }

    private void awaitMetric(String line) throws IOException {
        String shown = "";
        for (int i = 0; i < MAX_POLLS; i++) {
            shown = metrics();
            if (shown.contains("rattanplank_gateway_" + line + "\n")) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("never shown: " + line + " in " + shown);
    }

    /**
     * An address of this gateway alone. Ports that the system hands out may be taken again, by an outgoing connection,
     * between the moment at which they are found free and the one at which they are bound; so each gateway has a loopback
     * address of its own, by process and count, and ports below those that the system hands out.
     */
    private InetSocketAddress ownAddress() {
        return new InetSocketAddress(ip, nextPort++);
    }

    private static final class Directory implements AdapterNames.DirectoryFormat {
        @Override
        public Option<AdapterNames.Question> read(String uri) {
            return uri.startsWith("/hosts")
                    ? Option.some(new AdapterNames.Question("desk.example", "suva", DATA_CENTRE))
                    : Option.none();
        }

        @Override
        public AdminAnswer write(List<String> addresses, int seconds) {
            return AdminAnswer.text(String.join(",", addresses));
        }

        @Override
        public boolean asksReadiness(String uri) {
            return uri.startsWith("/ready");
        }
    }
}
