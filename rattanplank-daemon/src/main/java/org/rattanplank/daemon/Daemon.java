package org.rattanplank.daemon;

import java.net.URI;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.claim.ClaimLimits;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.Route;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.caller.CallerLimits;
import org.rattanplank.daemon.caller.CallerServer;
import org.rattanplank.daemon.http.Exchanges;
import org.rattanplank.daemon.http.WebClient;
import org.rattanplank.daemon.metric.DaemonMetrics;
import org.rattanplank.daemon.metric.LinkTraffic;
import org.rattanplank.daemon.operator.OperatorServer;
import org.rattanplank.daemon.peer.Links;
import org.rattanplank.daemon.peer.PeerServer;
import org.rattanplank.daemon.peer.PeerSizes;
import org.rattanplank.daemon.peer.PeerTimes;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.platform.HostsPoller;
import org.rattanplank.daemon.runtime.MillisClock;
import org.rattanplank.daemon.runtime.NodeRunner;
import org.rattanplank.daemon.runtime.Resources;
import org.rattanplank.daemon.setting.generated.DaemonSettings;
import org.rattanplank.daemon.store.EtcdStore;
import org.rattanplank.daemon.target.AttemptLimits;
import org.rattanplank.daemon.target.OverdueTimes;
import org.rattanplank.daemon.target.TargetPoller;
import org.rattanplank.daemon.target.Targets;
import org.rattanplank.daemon.trace.TraceExporter;
import org.rattanplank.daemon.trace.Traces;
import org.rattanplank.schema.message.Hello;
import org.tinylog.Logger;
import ratpack.exec.internal.DefaultExecController;

/**
 * All parts of one entry host, and the wires between them.
 *
 * <p>Invariant: each action of the node goes to exactly one part. Thread safe once it is open.
 */
public final class Daemon implements AutoCloseable {
    private static final long PROTOCOL_VERSION = 1;
    private static final long FRAME_FIELDS_BYTES = 65_536;
    private static final double JITTER = 0.2;
    private static final long FLUSH_CHECK_MILLIS = 10;

    private final DaemonSettings settings;
    private final MillisClock clock = MillisClock.ofWallClock();
    private final Directory directory = Directory.empty();
    private final DefaultExecController controller;
    private final WebClient client;
    private final Calls calls;
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final Traces traces;
    private final Observer observer;
    private final Node node;
    private final NodeRunner runner;
    private final Targets targets;
    private final Links links;
    private final EtcdStore store;
    private final HostsPoller hostsPoller;
    private final TargetPoller targetPoller;
    private final CallerServer callerServer;
    private final OperatorServer operatorServer;
    private final ScheduledExecutorService pollers = Executors.newSingleThreadScheduledExecutor(Daemon::pollerThread);
    private final GracefulStop stop;
    private Option<PeerServer> peerServer = Option.none();

    private Daemon(DaemonSettings settings) {
        this.settings = settings;
        stop = new GracefulStop(settings.drainTimeoutMillis());
        controller = new DefaultExecController((int) settings.ioThreads());
        client = WebClient.of(
                controller,
                settings.connectTimeoutMillis(),
                (int) settings.maxAnswerBytes(),
                bytes -> metrics.traffic("control", "out", bytes),
                bytes -> metrics.traffic("control", "in", bytes));
        calls = Calls.of((int) settings.maxRequests());
        NodeIdentity self = new NodeIdentity(
                settings.host(), clock.startMillis(), Place.of(settings.region(), settings.dataCentre()));
        long seed = settings.seed() == 0 ? clock.startMillis() : settings.seed();
        node = Node.of(self, Policy.of(settings.policy()).getOrElse(Policy.COST), claimLimits(settings), seed);
        runner = NodeRunner.of(node, clock, this::carryOut, (int) settings.workers(), (int) settings.maxBacklog());
        traces = Traces.of(TraceExporter.of(settings.traceExporter()), settings.host(), settings.traceUrl());
        observer = new Observer(runner, calls, metrics, traces);
        Resources resources = new Resources(
                controller.getEventLoopGroup(), client, Exchanges.of(settings.connectTimeoutMillis()), observer, clock);
        targets = new Targets(resources, directory, attemptLimits(), settings.pollTimeoutMillis());
        links = new Links(
                new Hello(self.host(), self.incarnation(), settings.region(), settings.dataCentre(), PROTOCOL_VERSION),
                resources,
                directory,
                peerTimes(),
                peerSizes(),
                new LinkTraffic(metrics),
                (int) settings.maxAnswerBytes());
        store = new EtcdStore(
                resources,
                URI.create(settings.storeUrl()),
                settings.storeTimeoutMillis(),
                settings.watchRenewMillis(),
                settings.storeCallsPerSecond(),
                metrics::storeReplied);
        hostsPoller = HostsPoller.of(client, settings.hostsUrl(), settings.pollTimeoutMillis(), directory, observer);
        targetPoller = new TargetPoller(resources, directory, settings.region(), settings.pollTimeoutMillis());
        callerServer = new CallerServer(settings.host(), node, calls, observer, clock, callerLimits());
        operatorServer = new OperatorServer(node, () -> stop.begin(this::drain), clock, metrics::text);
    }

    /**
     * Opens the ports and begins to work.
     *
     * @param settings the settings
     * @return the daemon, or why a port cannot be opened
     */
    public static Try<Daemon> open(DaemonSettings settings) {
        return Try.of(() -> new Daemon(settings)).flatMap(Daemon::openPorts);
    }

    /** Takes a signal: the first begins a graceful stop, the second ends it. */
    public void signalled() {
        stop.signalled(this::drain);
    }

    /**
     * Waits until the graceful stop is over.
     *
     * @throws InterruptedException if the thread is to end
     */
    public void awaitStop() throws InterruptedException {
        stop.await();
    }

    /**
     * Counts the requests in flight, and those whose reply has not gone out.
     *
     * @return the number
     */
    public int unfinished() {
        int unsentAnswers = peerServer.map(PeerServer::unsentAnswers).getOrElse(0);
        return Math.max(calls.size(), callerServer.unsentReplies() + unsentAnswers);
    }

    @Override
    public void close() {
        pollers.shutdownNow();
        runner.close();
        callerServer.close();
        operatorServer.close();
        peerServer.forEach(PeerServer::close);
        links.close();
        store.close();
        client.close();
        traces.close();
        controller.close();
    }

    private Try<Daemon> openPorts() {
        return PeerServer.open(
                        settings.peersAddress(),
                        (int) settings.peersPort(),
                        controller.getEventLoopGroup(),
                        links,
                        calls,
                        observer)
                .flatMap(peers -> {
                    peerServer = Option.some(peers);
                    return callerServer.open(
                            settings.callersAddress(), (int) settings.callersPort(), (int) settings.ioThreads());
                })
                .flatMap(callersPort -> operatorServer
                        .open(settings.operatorsAddress(), (int) settings.operatorsPort())
                        .map(operatorsPort -> started(callersPort, operatorsPort)));
    }

    private Daemon started(int callersPort, int operatorsPort) {
        addGauges();
        runner.startTicking(settings.tickIntervalMillis());
        repeat(hostsPoller::poll, settings.hostsIntervalMillis());
        repeat(targetPoller::pollLoads, settings.loadIntervalMillis());
        repeat(targetPoller::pollCaches, settings.cacheIntervalMillis());
        System.out.printf(
                "rattanplankd ready host=%s callers=%s:%d peers=%s:%d operators=%s:%d%n",
                settings.host(),
                settings.callersAddress(),
                callersPort,
                settings.peersAddress(),
                peerServer.get().port(),
                settings.operatorsAddress(),
                operatorsPort);
        System.out.flush();
        Logger.info("daemon: host {} is up", settings.host());
        return this;
    }

    private void addGauges() {
        metrics.gauge("requests_in_flight", calls::size);
        metrics.gauge("attempts_at_targets", targets::size);
        metrics.gauge("attempts_forwarded", links.forwards()::size);
        metrics.gauge("events_waiting", runner::backlog);
        metrics.gauge("caller_connections", callerServer::connections);
        metrics.gauge("claim_view_number", () -> (int) node.status().viewNumber());
        metrics.gauge(
                "configuration_generation", () -> (int) node.configuration().generation());
    }

    /** Runs a poll again and again, with jitter, so that many hosts do not poll in step. */
    private void repeat(Runnable poll, long intervalMillis) {
        Try.run(poll::run).onFailure(error -> Logger.error(error, "daemon: a poll failed"));
        double factor = 1 - JITTER + 2 * JITTER * ThreadLocalRandom.current().nextDouble();
        long pauseMillis = Math.max(1, Math.round(intervalMillis * factor));
        Try.run(() -> pollers.schedule(() -> repeat(poll, intervalMillis), pauseMillis, TimeUnit.MILLISECONDS));
    }

    private void carryOut(Action action) {
        if (action instanceof Action.StartAttempt start) {
            start(start);
        } else if (action instanceof Action.CancelAttempt cancel) {
            observer.cancelled(cancel);
            targets.cancel(cancel.requestId(), cancel.attempt());
            links.forwards().cancel(cancel.requestId(), cancel.attempt());
        } else if (action instanceof Action.Finish finish) {
            observer.finished(finish);
            calls.finish(finish.requestId(), finish.outcome());
        } else if (action instanceof Action.SendMessage send) {
            links.send(send.host(), send.message());
        } else if (action instanceof Action.CallStore call) {
            store.call(call);
        } else if (action instanceof Action.OrderTarget order) {
            targets.order(order);
        } else if (action instanceof Action.KeepLinks keep) {
            links.keep(keep.hosts());
        } else if (action instanceof Action.Stop) {
            finishStop(new CallerDrain(callerServer, this::unfinished, clock::nowMillis));
        }
    }

    private void drain() {
        callerServer.leave();
        runner.raise(new Event.DrainAsked());
    }

    private void finishStop(CallerDrain drain) {
        if (drain.isDone() && peerServer.forAll(PeerServer::end) && unfinished() == 0) {
            stop.finished();
        } else if (!stop.isOver()) {
            pollers.schedule(() -> finishStop(drain), FLUSH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void start(Action.StartAttempt start) {
        calls.find(start.requestId())
                .peek(call -> {
                    String traceParent = observer.started(start);
                    if (start.route() instanceof Route.ToTarget) {
                        targets.start(call, start, traceParent);
                    } else {
                        links.forwards().start(call, start, traceParent);
                    }
                })
                .onEmpty(() -> {
                    Failure failure = Failure.of(Step.CONNECT, start.route().peer(), "whoever asked has left");
                    runner.raise(new Event.AttemptEnded(
                            start.requestId(), start.attempt(), new AttemptResult.NotRun(failure, 0)));
                });
    }

    private AttemptLimits attemptLimits() {
        return new AttemptLimits(
                (int) settings.maxAnswerBytes(),
                (int) Math.min(settings.maxAnswerBytes(), settings.maxFrameBytes() - FRAME_FIELDS_BYTES),
                new OverdueTimes(
                        settings.answerOverdueMillis(), settings.modelOverdueMillis(), settings.partOverdueMillis()));
    }

    private PeerSizes peerSizes() {
        return new PeerSizes(
                (int) settings.maxFrameBytes(), (int) settings.sendQueueBytes(), (int) settings.maxPeerConnections());
    }

    private PeerTimes peerTimes() {
        return new PeerTimes(
                settings.connectTimeoutMillis(),
                settings.pingIntervalMillis(),
                settings.pingTimeoutMillis(),
                settings.redialMinMillis(),
                settings.redialMaxMillis(),
                settings.linkIdleMillis());
    }

    private CallerLimits callerLimits() {
        return new CallerLimits(
                (int) settings.maxBodyBytes(),
                (int) settings.maxHeaderBytes(),
                (int) settings.maxConnections(),
                settings.streamBufferBytes(),
                settings.callerIdleTimeoutMillis(),
                settings.callerReadTimeoutMillis(),
                settings.defaultTimeoutMillis(),
                settings.maxTimeoutMillis());
    }

    private static Thread pollerThread(Runnable task) {
        Thread thread = new Thread(task, "poller");
        thread.setDaemon(true);
        return thread;
    }

    private static ClaimLimits claimLimits(DaemonSettings settings) {
        return ClaimLimits.defaults()
                .withRetention(settings.claimRetentionMillis(), settings.claimClockMarginMillis())
                .withMaxClaims((int) settings.maxClaims())
                .withAnswerBytes((int) settings.maxKeptAnswerBytes(), settings.maxKeptAnswersBytes());
    }
}
