package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.CallerLimits;
import org.rattanplank.core.gateway.CallerLocation;
import org.rattanplank.core.gateway.EntryHostDirectory;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.MemoryBudget;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.gateway.caller.CallerConnection;
import org.rattanplank.gateway.caller.CallerRequest;
import org.rattanplank.gateway.caller.CallerServer;
import org.rattanplank.gateway.http.HttpClientTraffic;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.CallerResponse;
import org.rattanplank.gateway.pass.ForwardedRequest;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.pass.ProxiedRequest;
import org.rattanplank.gateway.peer.DisconnectCause;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.peer.PeerListener;
import org.rattanplank.gateway.peer.PeerTraffic;
import org.rattanplank.gateway.store.ClusterStore;
import org.rattanplank.gateway.store.HostLease;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreFeed;
import org.rattanplank.gateway.store.StoreRevision;
import org.rattanplank.gateway.target.TargetConnections;
import org.tinylog.Logger;

/**
 * One gateway process: its ports, its cluster state and its periodic tasks.
 *
 * <p>Invariant: everything but the log writer runs on one event loop, so the state needs no locks. Confined to the
 * event loop except {@link #start} and {@link #stop}.
 */
public final class Gateway implements PeerListener {
    /** The resolution of request deadlines and of the detection of unresponsive targets. */
    private static final long TICK_MILLIS = 50;

    /** Ticks with a delay of at least this are logged; the latency objectives of plain services are about 400 ms. */
    private static final long LATE_TICK_MILLIS = 100;

    /** The number of ticks between two checks for idle connections. */
    private static final int IDLE_CHECK_TICKS = 5;

    /** Links with at least this many bytes queued are logged: forwarded requests wait behind them. */
    private static final long CONGESTED_LINK_BYTES = 32 << 10;

    private final GatewaySettings settings;
    private final PlatformFormats formats;
    private final MonotonicClock clock = MonotonicClock.ofProcess();
    private final ReadWatermark readWatermark = ReadWatermark.of(clock.nowMillis(), LATE_TICK_MILLIS);
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final EventLog log;
    private final EventLoopMonitor loopMonitor;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final GatewayHost self;
    private final GatewayState state;
    private final TargetConnections connections;
    private final PeriodicTasks tasks = new PeriodicTasks(
            clock::nowMillis, (name, error) -> Logger.error(error, "gateway: a periodic task failed: {}", name));
    private final EntryHostDirectory directory = EntryHostDirectory.of(clock.nowMillis());
    private final CallerServer callers;
    private final PeerLinks links;
    private final PeerStateExchange stateExchange;
    private final CrashNoticeExchange crashNoticeExchange;
    private final QuarantineRecorder quarantineRecorder;
    private final ClusterStateUpdater stateUpdater;
    private final StoreFeed feed;
    private final HostLease lease;
    private final RequestReader reader;
    private final Set<ProxiedRequest> requests = new HashSet<>();
    private final Map<PeerLink, Map<Long, ForwardedRequest>> forwarded = new HashMap<>();
    private long ticks;
    private Option<GatewayStop> stop = Option.none();

    private Gateway(
            GatewaySettings settings,
            PlatformFormats formats,
            EventLoopGroup group,
            ClusterStore store,
            EventLog log,
            long incarnation) {
        this.settings = settings;
        this.formats = formats;
        this.group = group;
        this.log = log;
        loop = group.next();
        loopMonitor = EventLoopMonitor.of(loop, clock, log);
        self = new GatewayHost(
                settings.name(),
                incarnation,
                settings.location(),
                hostAndPort(settings.callers()),
                hostAndPort(settings.peers()));
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        reader = new RequestReader(formats.headers());
        connections = new TargetConnections(group, formats.headers(), clock);
        state = new GatewayState(settings, self, clock, random, connections, log, metrics);
        links = new PeerLinks(self, group, clock, readWatermark::millis, this);

        callers = new CallerServer(
                group,
                clock,
                this::bounds,
                this::onRequest,
                this::onRejectedRequest,
                state.memory().bodies(),
                state.memory().unsent());
        quarantineRecorder =
                new QuarantineRecorder(state.quarantine(), store, formats.storeFormat(), clock::nowMillis, random, log);
        state.quarantine().onChange(quarantineRecorder);
        stateUpdater = new ClusterStateUpdater(state, links, quarantineRecorder, this::onKeyLost);
        feed = StoreFeed.of(
                store, formats.storeFormat(), stateUpdater, loop, clock, random, settings.linkBytesPerMilli());
        state.attach(links, feed::isComplete);
        lease = HostLease.of(
                store, formats.storeFormat(), self, loop, settings.limits().minLeaseMillis(), this::onLeaseAnswer);
        stateExchange = new PeerStateExchange(
                state, links, feed, settings.linkBytesPerMilli(), this::acceptsCallers, this::acceptMillis);
        crashNoticeExchange = new CrashNoticeExchange(state.quarantine(), links);
        registerGauges(store.traffic());
    }

    /**
     * Creates the gateway of a process; nothing is served until {@link #start}.
     *
     * @param settings the settings of this process
     * @param formats the names and formats of the installation
     * @param group the event loop group, which has one thread
     * @param store the platform's store
     * @param log the log
     * @param incarnation the identifier of this run of the process
     * @return the gateway
     */
    public static Gateway of(
            GatewaySettings settings,
            PlatformFormats formats,
            EventLoopGroup group,
            ClusterStore store,
            EventLog log,
            long incarnation) {
        return new Gateway(settings, formats, group, store, log, incarnation);
    }

    /** Binds all ports and starts to watch the store. */
    public void start() {
        AdminServer.listen(group, settings.readiness(), this::handleAdmin);
        AdminServer.listen(group, settings.directory(), this::handleAdmin);
        AdminServer.listen(group, settings.metrics(), this::handleAdmin);
        links.listen(settings.peers());
        callers.listen(settings.callers());
        loopMonitor.start();
        loop.execute(() -> {
            feed.start();
            lease.start();
            log.writeImportant(LogLine.of(LogEvent.STARTED).with("incarnation", self.incarnation()));
        });
        // With a fixed delay two ticks never run in the same turn of the event loop, so it reads its sockets in
        // between.
        loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Stops gracefully.
     *
     * @param ended run when no request or connection is left, or the grace period is over, with the number of milliseconds
     *     that the process may still take
     */
    public void stop(LongConsumer ended) {
        long requestedAtMillis = clock.nowMillis();
        loop.execute(() -> {
            if (stop.isDefined()) {
                return;
            }
            stop = Option.some(new GatewayStop(
                    state,
                    callers,
                    links,
                    new RequestsInProgress(),
                    settings.limits().stopGraceMillis(),
                    requestedAtMillis,
                    ended));
            log.writeImportant(LogLine.of(LogEvent.STOPPING)
                    .with("requests", requests.size())
                    .with("delayMillis", clock.nowMillis() - requestedAtMillis));
            callers.stop();
            lease.deregister();
            stateExchange.sendStateToAll();
            loop.scheduleAtFixedRate(
                    () -> tasks.run("stop", stop.get()::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Logs that the settings were reloaded. */
    public void reloaded() {
        log.writeImportant(LogLine.of(LogEvent.RELOADED));
    }

    @Override
    public void connected(PeerLink link) {
        log.writeImportant(LogLine.of(LogEvent.PEER_CONNECTED)
                .with("peer", link.host().get().name()));
        stateExchange.sendState(link);
    }

    @Override
    public void disconnected(PeerLink link, DisconnectCause cause, String detail) {
        log.writeImportant(LogLine.of(LogEvent.PEER_LOST)
                .with("peer", link.host().map(GatewayHost::name).getOrElse(""))
                .with("reason", detail.isEmpty() ? cause.text() : cause.text() + ": " + detail));
        Option.of(forwarded.remove(link))
                .forEach(calls -> List.copyOf(calls.values()).forEach(ForwardedRequest::cancel));
        stateExchange.disconnected(link, cause);
        crashNoticeExchange.disconnected(link);
    }

    @Override
    public void stateReceived(PeerLink link, PeerFrame.State received) {
        stateExchange.receiveState(link, received);
        crashNoticeExchange.stateReceived(link);
    }

    @Override
    public void largePrefillNoticeReceived(PeerLink link, PeerFrame.TargetWork work) {
        stateExchange.receiveLargePrefillNotice(link, work);
    }

    @Override
    public void crashNoticeReceived(PeerLink link, List<CrashEvidence> evidence) {
        crashNoticeExchange.noticeReceived(link, evidence);
    }

    @Override
    public void storeItemsReceived(PeerLink link, PeerFrame.StoreItems storeItems) {
        state.pool().extendRemovalGrace(storeItems.removalGraceMillis(), clock.nowMillis());
        stateExchange.storeItemsReceived(link, storeItems.contents());
    }

    @Override
    public void requestReceived(PeerLink link, PeerFrame.CallRequest frame, String backup) {
        GatewayRequest request = reader.request(
                frame.method(), frame.uri(), frame.authority(), PeerLink.unflatten(frame.headers()), frame.body());
        int bodyBytes = request.body().length;
        MemoryBudget bodyMemory = state.memory().bodies();
        if (!bodyMemory.tryGrow(0, bodyBytes)) {
            new ForwardedRequest(state, link, frame, request, backup, () -> {})
                    .reject("no memory is left for the body");
            return;
        }
        Map<Long, ForwardedRequest> calls = forwarded.computeIfAbsent(link, each -> new HashMap<>());
        ForwardedRequest call = new ForwardedRequest(state, link, frame, request, backup, () -> {
            calls.remove(frame.call());
            bodyMemory.release(bodyBytes, clock.nowMillis());
        });
        calls.put(frame.call(), call);
        startAfterPendingReads(call::start);
    }

    @Override
    public void callCancelled(PeerLink link, long number) {
        ForwardedRequest call = forwarded.getOrDefault(link, Map.of()).get(number);
        if (call != null) {
            call.cancel();
        }
    }

    private void onRequest(
            CallerConnection connection, HttpRequest head, byte[] body, Consumer<CallerRequest> callReceiver) {
        Option<GatewayRequest> request = reader.read(head, body);
        metrics.record(Latency.REQUEST_READ, connection.receiveMillis());
        CallerResponse response = new CallerResponse(connection, state::newIncompleteHolder);
        if (request.isEmpty()) {
            response.respondBadRequest();
            onRejectedRequest("malformed request", AdminResponse.BAD_REQUEST);
            return;
        }
        ProxiedRequest[] created = new ProxiedRequest[1];
        created[0] = new ProxiedRequest(state, request.get(), response, () -> requests.remove(created[0]));
        requests.add(created[0]);
        callReceiver.accept(created[0]);
        startAfterPendingReads(() -> {
            // The disconnect of a closed connection is reported to its request a moment later.
            if (connection.isOpen()) {
                created[0].start();
            }
        });
    }

    /**
     * Starts a request after all data that has already arrived was read. A delayed host reads a request together with
     * its caller's disconnect; started at once, the request would reach a target without a caller. Symptom: targets
     * work on requests whose callers have disconnected, most of all after a restart of all hosts.
     */
    private void startAfterPendingReads(Runnable start) {
        loop.execute(start);
    }

    private void onRejectedRequest(String reason, int status) {
        metrics.ended(Integer.toString(status));
        log.writeOrdinary(LogLine.of(LogEvent.REFUSED).with("status", status).with("reason", reason));
    }

    private CallerLimits bounds() {
        return state.configuration().map(GatewayConfiguration::callerLimits).getOrElse(CallerLimits.DEFAULTS);
    }

    private boolean acceptsCallers() {
        return stop.isEmpty() && state.isInitialized() && !state.isRetiring();
    }

    private long acceptMillis() {
        if (acceptsCallers()) {
            return PeerFrame.State.UNLIMITED_MILLIS;
        }
        return state.isInitialized() ? stop.map(GatewayStop::acceptMillis).getOrElse(0L) : 0;
    }

    private void onLeaseAnswer(Option<StoreFailure> failure) {
        feed.updateLeaseHealth(failure.isEmpty());
        failure.forEach(
                reason -> log.writeImportant(LogLine.of(LogEvent.LEASE_FAILED).with("reason", reason.name())));
    }

    private void onKeyLost() {
        lease.keyRemoved();
    }

    private AdminResponse handleAdmin(AdminRequest request) {
        String uri = request.uri();
        if (formats.directoryFormat().isReadinessProbe(uri)) {
            return acceptsCallers() ? AdminResponse.text("ready\n") : AdminResponse.unavailable();
        }
        Option<PlatformFormats.EntryHostsQuery> query =
                formats.directoryFormat().parse(uri);
        if (query.isDefined()) {
            List<String> hosts = entryHosts(query.get());
            return hosts.isEmpty()
                    ? AdminResponse.unavailable()
                    : formats.directoryFormat().format(hosts, settings.limits().entryHostsTtlSeconds());
        }
        if (uri.startsWith("/status")) {
            return AdminResponse.json(
                    GatewayStatus.of(state, requests.size(), !acceptsCallers()).toJson());
        }
        if (uri.startsWith(QuarantineAdmin.PATH)) {
            return QuarantineAdmin.handle(request, state.quarantine());
        }
        return uri.startsWith("/metrics") ? AdminResponse.text(metrics.text()) : AdminResponse.notFound();
    }

    private List<String> entryHosts(PlatformFormats.EntryHostsQuery query) {
        List<GatewayHost> accepting = hosts(acceptsCallers(), PeerFrame.State::acceptsCallers);
        List<GatewayHost> draining = hosts(acceptMillis() > 0 && !acceptsCallers(), PeerFrame.State::isLastOfRegion);
        Option<CallerLocation> callerLocation = state.configuration()
                .map(configuration -> new CallerLocation(
                        query.region(),
                        query.dataCentre(),
                        configuration.homeRegions(query.hostName()),
                        configuration.commonHomeRegions(query.hostName())));
        return directory.list(accepting, draining, silentHosts(), callerLocation, clock.nowMillis());
    }

    private Set<GatewayHost> silentHosts() {
        Set<GatewayHost> silent = new HashSet<>();
        for (PeerLink link : links.aliveLinks()) {
            if (link.isSilent()) {
                silent.add(link.host().get());
            }
        }
        return silent;
    }

    private List<GatewayHost> hosts(boolean withSelf, Predicate<PeerFrame.State> condition) {
        List<GatewayHost> hosts = new ArrayList<>();
        if (withSelf) {
            hosts.add(self);
        }
        for (PeerLink link : links.aliveLinks()) {
            if (condition.test(link.state())) {
                hosts.add(link.host().get());
            }
        }
        return hosts;
    }

    /**
     * Records the delay of the event loop. All work is delayed as much, and no other metric shows it, as the time of a
     * request starts when it is read.
     */
    private void recordLoopDelay(long now) {
        long delayMillis = Math.max(0, readWatermark.recordTick(now) - TICK_MILLIS);
        metrics.record(Latency.LOOP_DELAY, delayMillis);
        if (delayMillis >= LATE_TICK_MILLIS) {
            log.writeOrdinary(LogLine.of(LogEvent.LOOP_LATE)
                    .with("delayMillis", delayMillis)
                    .with("requests", requests.size()));
        }
    }

    private void tick() {
        long now = clock.nowMillis();
        ticks++;
        tasks.run("delay of the event loop", () -> {
            loopMonitor.recordTurn();
            recordLoopDelay(now);
        });
        List.copyOf(requests).forEach(request -> tasks.run("requests", () -> request.tick(readWatermark.millis())));
        tasks.run(
                "forwarded requests",
                () -> forEachForwarded(
                        call -> tasks.run("forwarded requests", () -> call.tick(readWatermark.millis()))));
        tasks.run("links", links::tick);
        tasks.run("exchange of states", () -> stateExchange.tick(now));
        tasks.run("targets' entries", () -> stateUpdater.tick(now));
        tasks.run("ports of targets", connections::checkPorts);
        tasks.run("quarantine", () -> state.tickQuarantine(now));
        tasks.run("quarantine records", () -> quarantineRecorder.tick(now));
        if (ticks % IDLE_CHECK_TICKS == 0) {
            tasks.run("connections of targets", connections::tick);
            tasks.run("connections of callers", callers::closeTimedOutConnections);
            tasks.run("congested links", this::logCongestedLinks);
            tasks.run(
                    "entry hosts",
                    () -> directory.recordHosts(
                            hosts(acceptMillis() > 0, received -> received.acceptMillis() > 0), now));
        }
    }

    private void logCongestedLinks() {
        for (PeerLink link : links.aliveLinks()) {
            if (link.pendingBytes() >= CONGESTED_LINK_BYTES) {
                log.writeOrdinary(LogLine.of(LogEvent.LINK_FULL)
                        .with("peer", link.host().get().name())
                        .with("waitingBytes", link.pendingBytes()));
            }
        }
    }

    /** Runs an action for each request of another host; the action may end the request. */
    private void forEachForwarded(Consumer<ForwardedRequest> action) {
        List.copyOf(forwarded.values())
                .forEach(calls -> List.copyOf(calls.values()).forEach(action));
    }

    private void registerGauges(HttpClientTraffic storeTraffic) {
        metrics.gauge("configuration_version", state::configurationVersion);
        metrics.gauge("intents_generation", () -> state.intents().generation());
        metrics.gauge("store_age_millis", () -> feed.lastResponseAgeMillis());
        metrics.gauge(
                "store_copy_revision", () -> StoreRevision.number(feed.copy().revision()));
        metrics.gauge("store_copy_era", () -> feed.copy().era());
        metrics.gauge("store_copy_lag_millis", () -> feed.lagMillis());
        metrics.gauge("requests_in_progress", () -> requests.size());
        metrics.gauge("targets", () -> state.pool().all().size());
        metrics.gauge("peers", () -> links.aliveLinks().size());
        for (PeerTraffic.Kind kind : PeerTraffic.Kind.values()) {
            metrics.gauge("peer_bytes_sent{kind=\"" + kind.label() + "\"}", () -> links.traffic()
                    .sentBytes(kind));
        }
        metrics.gauge("peer_bytes_waiting", () -> links.pendingBytes());
        metrics.gauge("peer_bytes_waiting_most", () -> links.maxPendingBytes());
        metrics.gauge("peer_bytes_received", () -> links.traffic().receivedBytes());
        metrics.gauge("store_bytes_sent", storeTraffic::sentBytes);
        metrics.gauge("store_bytes_received", storeTraffic::receivedBytes);
        metrics.gauge("store_write_longest_millis", storeTraffic::resetLongestWriteMillis);
        metrics.gauge(
                "requests_quarantined", () -> state.quarantine().quarantined().size());
        metrics.gauge("body_memory_bytes", state.memory().bodies()::heldBytes);
        metrics.gauge("incomplete_memory_bytes", state.memory().incomplete()::heldBytes);
        metrics.gauge("unsent_memory_bytes", state.memory().unsent()::heldBytes);
        metrics.gauge("target_connections_opened", connections::openedConnections);
        metrics.gauge("target_checks", connections::checks);
        metrics.gauge("log_lines_dropped", log::droppedLines);
        metrics.gauge("loop_stalls", loopMonitor::stalls);
    }

    private static String hostAndPort(java.net.InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The requests in progress. Confined to the event loop. */
    private final class RequestsInProgress implements GatewayStop.ActiveRequests {
        @Override
        public boolean isEmpty() {
            return requests.isEmpty() && forwarded.values().stream().allMatch(Map::isEmpty);
        }

        /** Aborts all requests: a response with the outcome is better than a closed connection. */
        @Override
        public int abortAll() {
            int count = requests.size()
                    + forwarded.values().stream().mapToInt(Map::size).sum();
            List.copyOf(requests).forEach(ProxiedRequest::abort);
            forEachForwarded(ForwardedRequest::abort);
            return count;
        }
    }
}
