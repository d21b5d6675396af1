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
import java.util.concurrent.Callable;
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
import org.rattanplank.core.account.AllowanceBounds;
import org.rattanplank.core.account.GatewayAccount;
import org.rattanplank.core.gateway.CallerLimits;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.Mechanisms;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.gateway.TargetIncarnation;
import org.rattanplank.core.gateway.WeightedService;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Document;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.store.ClusterEvent;
import org.rattanplank.gateway.store.StoreItem;

/** A gateway of one region with an in-memory store. */
final class TestGateway implements AutoCloseable {
    static final HeaderNames NAMES = new HeaderNames(
            "Request-Id",
            "Time-Left",
            "Last-Event-Id",
            "Expected",
            "Not-Run",
            "Limit",
            "Leaving",
            "Copy-From",
            "Backup",
            "Continue-From",
            "Urgency",
            "Tokens",
            "Parts",
            "Hint",
            "Key",
            "Account",
            Set.of("Expected", "Urgency", "Backup", "Continue-From"));
    private static final long LINK_BYTES_PER_MILLI = 1_250;
    private static final String DATA_CENTRE = "suva-hall";
    private static final long GRACE_MILLIS = 4_000;
    private static final long END_TIMEOUT_MILLIS = 20_000;
    private static final long KV_CACHE_TOKENS = 400_000;
    private static final int MAX_POLLS = 1_000;

    /** The maximum interval of each periodic task of a gateway. */
    private static final long TICKS_DUE_MILLIS = 400;

    private static final long POLL_INTERVAL_NANOS = 10_000_000;

    private static final AtomicInteger INSTANCES = new AtomicInteger();
    private static final int FIRST_PORT = 18_000;
    private static final int PORTS_PER_GATEWAY = 20;
    private static final int BYTE_VALUES = 250;

    private final int instance = INSTANCES.getAndIncrement();
    private final String ip = "127." + (1 + ProcessHandle.current().pid() / BYTE_VALUES % BYTE_VALUES) + "."
            + (1 + ProcessHandle.current().pid() % BYTE_VALUES) + "." + (1 + instance % BYTE_VALUES);
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private int nextPort = FIRST_PORT + instance / BYTE_VALUES * PORTS_PER_GATEWAY;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final TestStore store = new TestStore(group.next());
    private final CountDownLatch ended = new CountDownLatch(1);
    private final InetSocketAddress callers = ownAddress();
    private final InetSocketAddress entryHosts = ownAddress();
    private final Gateway gateway;
    private final InetSocketAddress metrics = ownAddress();
    private final InetSocketAddress peers = ownAddress();
    private final GatewayHost self;
    private final Queue<TestCaller> openCallers = new ConcurrentLinkedQueue<>();
    private Option<List<GatewayAccount>> accounts = Option.none();
    private int maxBodyBytes = 10_000;
    private long version;
    private int targets;

    TestGateway() throws IOException {
        this(GRACE_MILLIS);
    }

    /** Starts a gateway with the given grace period for its stop. */
    TestGateway(long graceMillis) throws IOException {
        this("h1", "suva", graceMillis);
    }

    /** Starts a gateway of the given name in a region; it connects to others with {@link #connect}. */
    TestGateway(String name, String region) throws IOException {
        this(name, region, GRACE_MILLIS);
    }

    private TestGateway(String name, String region, long graceMillis) throws IOException {
        Location location = Location.of(region, DATA_CENTRE);
        self = new GatewayHost(name, 1, location, text(callers), text(peers));
        GatewaySettings settings = new GatewaySettings(
                name,
                location,
                Map.of(DATA_CENTRE, region),
                callers,
                ownAddress(),
                entryHosts,
                peers,
                metrics,
                ownAddress(),
                LINK_BYTES_PER_MILLI,
                new SharedLimits(graceMillis, 0.2, 160, 10_000, 1, 1_000, new AllowanceBounds(60_000, 0, 0)),
                Mechanisms.ALL);
        EventLog log = EventLog.start(name, logged, System::nanoTime);
        gateway = Gateway.of(settings, new PlatformFormats(NAMES, store, new Directory()), group, store, log, 1);
        gateway.start();
    }

    /** Applies a configuration with one route for the path /a/ and waits until it is in force. */
    TestGateway configure(RouteKind kind, boolean resumable, int maxAttempts) throws IOException {
        return configure(kind, resumable, maxAttempts, 0);
    }

    /** Applies a configuration with one route for resumable streams of a model engine. */
    TestGateway configureModel() throws IOException {
        return configure(RouteKind.STREAM, true, 2, KV_CACHE_TOKENS);
    }

    /** Applies a configuration with one route for streams of a model engine that must not run again. */
    TestGateway configureModelWithoutResumption() throws IOException {
        return configure(RouteKind.STREAM, false, 1, KV_CACHE_TOKENS);
    }

    private TestGateway configure(RouteKind kind, boolean resumable, int maxAttempts, long kvCacheTokens)
            throws IOException {
        version++;
        List<RouteRule> routes = List.of(
                route("/a/", kind, resumable, maxAttempts, false),
                route("/public/", kind, resumable, maxAttempts, true));
        GatewayConfiguration configuration = GatewayConfiguration.of(
                version,
                routes,
                List.of(new ServiceRule("desk", 50, 0, 0, 0, 0, kvCacheTokens, kvCacheTokens > 0)),
                new CallerLimits(4_096, maxBodyBytes, 3_000, 15_000));
        store.put(
                "configuration",
                new ClusterEvent.ConfigurationChanged(
                        accounts.map(configuration::withAccounts).getOrElse(configuration)),
                false);
        awaitMetric("configuration_version " + version);
        return this;
    }

    private RouteRule route(String pathPrefix, RouteKind kind, boolean resumable, int maxAttempts, boolean isPublic) {
        return new RouteRule(
                "r" + version + pathPrefix,
                "desk.example",
                pathPrefix,
                kind,
                resumable,
                List.of(new WeightedService("desk", 1)),
                maxAttempts,
                10_000,
                1_000,
                400,
                1,
                Set.of(),
                isPublic);
    }

    /** Sets the size limit of requests in the configurations that are applied from then on. */
    TestGateway withMaxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
        return this;
    }

    /** Sets the client accounts of the configurations that are applied from then on. */
    TestGateway withAccounts(GatewayAccount... newAccounts) {
        accounts = Option.some(List.of(newAccounts));
        return this;
    }

    /** Adds a target and waits until the gateway knows it. */
    TestGateway target(String id, int port) throws IOException {
        registerTarget(new TargetIncarnation(id, 0), port);
        targets++;
        awaitMetric("targets " + targets);
        return this;
    }

    /**
     * Adds a target and removes it before the gateway observes it, and waits until the gateway has listed the store since.
     *
     * @return the entry of the target
     */
    StoreItem departedTarget(String id, int port) {
        long lists = store.lists();
        String key = TestStore.TARGETS_PREFIX + id;
        long revision = store.putAndRemoveUnobserved(key, registration(new TargetIncarnation(id, 0), port));
        awaitListed(lists + 1);
        return new StoreItem(key, new byte[0], revision, false);
    }

    /**
     * Adds a target and removes it, of which the store tells no watch.
     *
     * @return the entry of the target
     */
    StoreItem untoldTarget(String id, int port) {
        String key = TestStore.TARGETS_PREFIX + id;
        long revision = store.putAndRemoveUntold(key, registration(new TargetIncarnation(id, 0), port));
        return new StoreItem(key, new byte[0], revision, false);
    }

    /** Answers no watch of the store any more, as if its connection were dead. */
    void silenceWatches() {
        store.silenceWatches();
    }

    /** Answers no listing of the store any more, as if its connection were dead. */
    void silenceLists() {
        store.silenceLists();
    }

    /** Lets the store come back from the copy of a revision. */
    void restoreStore(long revision) {
        store.restore(revision);
    }

    /** Writes the entry of a target that leaves. */
    void registerLeavingTarget(String id, int port) {
        TargetEntry entry =
                new TargetEntry(new TargetIncarnation(id, 0), "desk", "127.0.0.1", port, DATA_CENTRE, 4, true, 0);
        store.put(TestStore.TARGETS_PREFIX + id, new ClusterEvent.TargetRegistered(entry), false);
    }

    /** Returns the newest revision of the store. */
    long storeRevision() {
        return store.revision();
    }

    /** Waits until the store was listed that often. */
    void awaitListed(long lists) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (store.lists() >= lists) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("the store was listed " + store.lists() + " times, not " + lists);
    }

    /** Removes the entry of a target. */
    void removeTarget(String id) {
        store.put(TestStore.TARGETS_PREFIX + id, new ClusterEvent.TargetRemoved(id), true);
    }

    /** Waits until the gateway knows that many targets. */
    void awaitTargets(int count) throws IOException {
        awaitMetric("targets " + count);
    }

    /** Puts an unreadable entry under the key of a target. */
    void putUnreadableTarget(String id) {
        store.put(TestStore.TARGETS_PREFIX + id, new ClusterEvent.Unreadable(Option.some(id), "no address"), false);
    }

    /** Waits until that many unreadable items were counted. */
    void awaitUnreadable(int count) throws IOException {
        awaitMetric("unreadable_items_total " + count);
    }

    /** Counts the log lines that contain a text. */
    long countLogged(String text) {
        return logged.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(text))
                .count();
    }

    /** Adds an incarnation of a target. */
    void registerTarget(TargetIncarnation incarnation, int port) {
        store.put(TestStore.TARGETS_PREFIX + incarnation.id(), registration(incarnation, port), false);
    }

    private static ClusterEvent registration(TargetIncarnation incarnation, int port) {
        return new ClusterEvent.TargetRegistered(
                new TargetEntry(incarnation, "desk", "127.0.0.1", port, DATA_CENTRE, 4, false, 0));
    }

    /** Waits for the final log line of a request, and returns all its lines. */
    List<String> linesOf(String requestId) {
        String requestIdField = "\"requestId\":\"" + requestId + "\"";
        for (int i = 0; i < MAX_POLLS; i++) {
            List<String> lines = logged.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains(requestIdField))
                    .toList();
            if (lines.stream().anyMatch(line -> line.contains("\"event\":\"ended\""))) {
                return lines;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError(
                "no final line of request " + requestId + " in " + logged.toString(StandardCharsets.UTF_8));
    }

    /** Puts an older version under the key of the configuration, as a host that was partitioned would do. */
    void putOlderConfiguration(long olderVersion) {
        putEmptyConfiguration(olderVersion);
    }

    /** Applies a configuration without routes and services, and waits until it is in force. */
    void removeRoutes() throws IOException {
        putEmptyConfiguration(++version);
        awaitMetric("configuration_version " + version);
    }

    private void putEmptyConfiguration(long emptyVersion) {
        GatewayConfiguration empty = GatewayConfiguration.of(emptyVersion, List.of(), List.of(), CallerLimits.DEFAULTS);
        store.put("configuration", new ClusterEvent.ConfigurationChanged(empty), false);
    }

    long configurationVersion() throws IOException {
        for (int i = 1; ; i++) {
            if (metrics().contains("configuration_version " + i + "\n")) {
                return i;
            }
        }
    }

    /** Applies intents that retire a host, and waits until they are in force. */
    void retire(String host) throws IOException {
        TreeMap<String, JsonNode> files = new TreeMap<>();
        files.put(
                "50-retire.yaml",
                JsonNodeFactory.instance.objectNode().put("kind", "retire").put("name", host));
        store.put("intents", new ClusterEvent.IntentsChanged(Document.empty().next(files, "change")), false);
        awaitMetric("intents_generation 1");
    }

    /**
     * Connects a caller. It is kept until the end of the test, as the garbage collector would close an unreferenced
     * socket.
     */
    TestCaller caller() throws IOException {
        TestCaller caller = new TestCaller(callers);
        openCallers.add(caller);
        return caller;
    }

    /** Makes the store answer no further call. */
    void makeStoreUnavailable() {
        store.down(true);
    }

    /** Waits until the gateway has detected that the store does not answer. */
    void awaitStoreUnavailable() {
        awaitLogged("\"event\":\"store_lost\"");
    }

    /** Repeats an attempt until it is served. */
    void awaitServed(Callable<Boolean> attempt) throws Exception {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (attempt.call()) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("never served");
    }

    /** Waits until the log contains a text. */
    void awaitLogged(String text) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (logged.toString(StandardCharsets.UTF_8).contains(text)) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("not logged: " + text + " in " + logged.toString(StandardCharsets.UTF_8));
    }

    /** Blocks the event loop until the returned latch is counted down. */
    CountDownLatch blockEventLoop() {
        return blockEventLoop(new CountDownLatch(1));
    }

    /** Blocks the event loop likewise, and counts down the given latch when it has begun. */
    CountDownLatch blockEventLoop(CountDownLatch started) {
        CountDownLatch released = new CountDownLatch(1);
        group.next().execute(() -> {
            started.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return released;
    }

    /** Connects two gateways and waits until each knows the other. */
    void connect(TestGateway other) throws IOException {
        store.put("hosts/" + other.self.name(), new ClusterEvent.HostRegistered(other.self), false);
        other.store.put("hosts/" + self.name(), new ClusterEvent.HostRegistered(self), false);
        awaitMetric("peers 1");
        other.awaitMetric("peers 1");
    }

    /** Connects a host of another region. */
    TestPeer peer() throws IOException {
        return new TestPeer(peers);
    }

    /** Connects a host of another region by name. */
    TestPeer peer(String name) throws IOException {
        return new TestPeer(peers, name, Location.of("labasa", "labasa-hall"));
    }

    /** Connects another host of the gateway's region. */
    TestPeer sameRegionPeer(String name) throws IOException {
        return new TestPeer(peers, name, Location.of("suva", DATA_CENTRE));
    }

    /** Connects that many other hosts of the gateway's region, which read all frames. */
    List<TestPeer> sameRegionPeers(int count) throws IOException {
        List<TestPeer> connectedPeers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestPeer peer = sameRegionPeer("n" + i);
            peer.drainInBackground();
            connectedPeers.add(peer);
        }
        return connectedPeers;
    }

    /** Puts an item of the given size into the store that a gateway can't interpret. */
    void putBytes(String key, int bytes) {
        store.put(key, new byte[bytes], new ClusterEvent.Unreadable(Option.none(), "a test's bytes"), false);
    }

    /** Puts incompressible bytes into the store. */
    void putIncompressible(String key, int bytes) {
        byte[] incompressible = new byte[bytes];
        new Random(bytes).nextBytes(incompressible);
        store.put(key, incompressible, new ClusterEvent.Unreadable(Option.none(), "a test's bytes"), false);
    }

    /** Returns the evidence against quarantined requests that the gateway has written to the store. */
    List<ClusterEvent.QuarantineChanged> storedQuarantines() {
        return store.quarantines();
    }

    /** Waits until the store has evidence against a quarantined request. */
    ClusterEvent.QuarantineChanged awaitStoredQuarantine() {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (!storedQuarantines().isEmpty()) {
                return storedQuarantines().get(0);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("no quarantine was written to the store");
    }

    /** Puts evidence into the store that other gateways have written before this one started. */
    void putQuarantine(ClusterEvent.QuarantineChanged quarantine) {
        store.put("quarantine/" + quarantine.fingerprint().text(), quarantine, false);
    }

    /** Makes the store answer again. */
    void makeStoreAvailable() {
        store.down(false);
    }

    /** Returns how often all items of the store were listed. */
    long storeLists() {
        return store.lists();
    }

    /** Returns the value of a metric. */
    long metric(String name) throws IOException {
        String start = "rattanplank_gateway_" + name + " ";
        return metrics()
                .lines()
                .filter(line -> line.startsWith(start))
                .mapToLong(line -> Long.parseLong(line.substring(start.length())))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no metric " + name));
    }

    /** Waits until that many bytes of other hosts have been received. */
    void awaitReceived(int bytes) throws IOException {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (metric("peer_bytes_received") >= bytes) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("fewer bytes than " + bytes + " of other hosts were received");
    }

    /** Requests the entry hosts for callers. */
    String entryHosts() throws IOException {
        try (TestCaller caller = new TestCaller(entryHosts)) {
            return caller.send("GET /hosts HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .readAll();
        }
    }

    /** Sends a request of an operator. */
    String admin(String method, String uri) throws IOException {
        try (TestCaller caller = new TestCaller(metrics)) {
            return caller.send(method + " " + uri + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .readAll();
        }
    }

    /** Begins to stop the gateway, which may stay on the entry host list as the last host of its region. */
    void requestStop() {
        gateway.stop(maxMillis -> ended.countDown());
    }

    /** Stops the gateway and waits until it has left the entry host list. */
    void stop() throws IOException {
        requestStop();
        while (entryHosts().contains("127.")) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /**
     * Stops the gateway and pauses its event loop at once. The loop is paused again between its next read of its
     * sockets and the timers due meanwhile, as happens to a process that gets no processor time.
     */
    EventLoopPause stopAndPause(long pauseMillis) throws InterruptedException {
        EventLoopPause pause = new EventLoopPause();
        CountDownLatch started = new CountDownLatch(1);
        EventLoop loop = group.next();
        loop.execute(() -> {
            // Due before all timers of the stop.
            loop.schedule(pause::pauseAfterLastRead, 0, TimeUnit.MILLISECONDS);
            gateway.stop(maxMillis -> ended.countDown());
            loop.execute(() -> {
                started.countDown();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
            });
        });
        started.await();
        return pause;
    }

    /**
     * Pauses the event loop after a read of its sockets until the returned latch is counted down, with its periodic
     * tasks due right after.
     */
    CountDownLatch pauseBeforeTimers() throws InterruptedException {
        EventLoopPause pause = new EventLoopPause();
        EventLoop loop = group.next();
        loop.execute(() -> {
            loop.schedule(pause::pauseAfterLastRead, 0, TimeUnit.MILLISECONDS);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICKS_DUE_MILLIS));
        });
        pause.awaitLastRead();
        return pause.resumed;
    }

    /** The second pause of the event loop. */
    static final class EventLoopPause {
        private final CountDownLatch lastRead = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);

        /** Waits until the event loop has read its sockets for the last time before its timers run. */
        void awaitLastRead() throws InterruptedException {
            lastRead.await();
        }

        /** Lets the event loop continue. */
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

    /** Returns whether the process would have terminated by now. */
    boolean hasEnded() {
        return ended.getCount() == 0;
    }

    void awaitEnded() throws InterruptedException {
        if (!ended.await(END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the gateway did not terminate");
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private String metrics() throws IOException {
        return admin("GET", "/metrics");
    }

    private void awaitMetric(String line) throws IOException {
        String lastMetrics = "";
        for (int i = 0; i < MAX_POLLS; i++) {
            lastMetrics = metrics();
            if (lastMetrics.contains("rattanplank_gateway_" + line + "\n")) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new AssertionError("not in metrics: " + line + " in " + lastMetrics);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns an address that only this gateway uses. A free ephemeral port may be taken by an outgoing connection
     * between the check and the bind; so each gateway has a loopback address of its own, derived from process and
     * count, and ports below the ephemeral range. Addresses recur with other ports.
     */
    private InetSocketAddress ownAddress() {
        return new InetSocketAddress(ip, nextPort++);
    }

    private static final class Directory implements PlatformFormats.DirectoryFormat {
        @Override
        public Option<PlatformFormats.EntryHostsQuery> parse(String uri) {
            return uri.startsWith("/hosts")
                    ? Option.some(new PlatformFormats.EntryHostsQuery("desk.example", "suva", DATA_CENTRE))
                    : Option.none();
        }

        @Override
        public AdminResponse format(List<String> addresses, int seconds) {
            return AdminResponse.text(String.join(",", addresses));
        }

        @Override
        public boolean isReadinessProbe(String uri) {
            return uri.startsWith("/ready");
        }
    }
}
