package org.rattanplank.daemon;

import java.net.URI;
import java.util.Set;
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
import org.rattanplank.core.host.Location;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.route.Route;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.caller.CallerLimits;
import org.rattanplank.daemon.caller.CallerServer;
import org.rattanplank.daemon.http.ExchangeClient;
import org.rattanplank.daemon.http.ResponseMemory;
import org.rattanplank.daemon.http.WebClient;
import org.rattanplank.daemon.metric.DaemonMetrics;
import org.rattanplank.daemon.metric.LinkTrafficCounter;
import org.rattanplank.daemon.operator.OperatorServer;
import org.rattanplank.daemon.peer.Links;
import org.rattanplank.daemon.peer.PeerServer;
import org.rattanplank.daemon.peer.PeerSizes;
import org.rattanplank.daemon.peer.PeerTimes;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.platform.HostListPoller;
import org.rattanplank.daemon.runtime.IoResources;
import org.rattanplank.daemon.runtime.MillisClock;
import org.rattanplank.daemon.runtime.NodeRunner;
import org.rattanplank.daemon.setting.generated.DaemonSettings;
import org.rattanplank.daemon.store.EtcdStore;
import org.rattanplank.daemon.target.AttemptLimits;
import org.rattanplank.daemon.target.OverdueTimes;
import org.rattanplank.daemon.target.TargetPoller;
import org.rattanplank.daemon.target.Targets;
import org.rattanplank.daemon.trace.RequestTracer;
import org.rattanplank.daemon.trace.TraceExporter;
import org.rattanplank.schema.message.Hello;
import org.tinylog.Logger;
import ratpack.exec.internal.DefaultExecController;

/**
 * Creates and connects the components of one entry host.
 *
 * <p>Invariant: each action of the node is executed by exactly one component. Thread safe once it is open.
 */
public final class Daemon implements AutoCloseable {
    private static final long PROTOCOL_VERSION = 1;
    private static final long FRAME_OVERHEAD_BYTES = 65_536;
    private static final double POLL_JITTER_RATIO = 0.2;
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 10;

    private final DaemonSettings settings;
    private final MillisClock clock = MillisClock.ofWallClock();
    private final Directory directory = Directory.empty();
    private final DefaultExecController controller;
    private final ResponseMemory responseMemory = ResponseMemory.ofHeap();
    private final WebClient client;
    private final Calls calls;
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final RequestTracer tracer;
    private final NodeInstrumentation instrumentation;
    private final Node node;
    private final NodeRunner runner;
    private final Targets targets;
    private final Links links;
    private final EtcdStore store;
    private final HostListPoller hostListPoller;
    private final TargetPoller targetPoller;
    private final CallerServer callerServer;
    private final OperatorServer operatorServer;
    private final ScheduledExecutorService pollers = Executors.newSingleThreadScheduledExecutor(Daemon::pollerThread);
    private final GracefulStop stop;
    private Option<PeerServer> peerServer = Option.none();
    private volatile Set<String> interruptedRequests = Set.of();

    /** Confined to the thread of the pollers. */
    private Option<CallerDrain> callerDrain = Option.none();

    private Daemon(DaemonSettings settings) {
        this.settings = settings;
        stop = new GracefulStop(settings.drainTimeoutMillis(), this::interruptRequests);
        controller = new DefaultExecController((int) settings.ioThreads());
        client = WebClient.of(
                controller,
                settings.connectTimeoutMillis(),
                (int) settings.maxAnswerBytes(),
                responseMemory,
                bytes -> metrics.traffic("control", "out", bytes),
                bytes -> metrics.traffic("control", "in", bytes));
        calls = Calls.of((int) settings.maxRequests());
        NodeIdentity self = new NodeIdentity(
                settings.host(), clock.startMillis(), Location.of(settings.region(), settings.dataCentre()));
        long seed = settings.seed() == 0 ? clock.startMillis() : settings.seed();
        node = Node.of(self, Policy.of(settings.policy()).getOrElse(Policy.COST), claimLimits(settings), seed);
        runner = NodeRunner.of(node, clock, this::execute, (int) settings.workers(), (int) settings.maxBacklog());
        tracer = RequestTracer.of(TraceExporter.of(settings.traceExporter()), settings.host(), settings.traceUrl());
        instrumentation = new NodeInstrumentation(runner, calls, metrics, tracer);
        IoResources resources = new IoResources(
                controller.getEventLoopGroup(),
                client,
                ExchangeClient.of(settings.connectTimeoutMillis()),
                instrumentation,
                clock);
        targets = new Targets(resources, directory, attemptLimits(), settings.pollTimeoutMillis());
        links = new Links(
                new Hello(self.host(), self.incarnation(), settings.region(), settings.dataCentre(), PROTOCOL_VERSION),
                resources,
                directory,
                peerTimes(),
                peerSizes(),
                new LinkTrafficCounter(metrics),
                (int) settings.maxAnswerBytes());
        store = new EtcdStore(
                resources,
                URI.create(settings.storeUrl()),
                settings.storeTimeoutMillis(),
                settings.watchRenewMillis(),
                settings.storeCallsPerSecond(),
                metrics::storeReplied);
        hostListPoller = HostListPoller.of(
                client, settings.hostsUrl(), settings.pollTimeoutMillis(), directory, instrumentation);
        targetPoller = new TargetPoller(resources, directory, settings.region(), settings.pollTimeoutMillis());
        callerServer = new CallerServer(settings.host(), node, calls, instrumentation, clock, callerLimits());
        operatorServer = new OperatorServer(node, () -> stop.start(this::startDraining), clock, metrics::text);
    }

    /**
     * Opens the ports and starts serving.
     *
     * @param settings the settings
     * @return the daemon, or the error if a port cannot be opened
     */
    public static Try<Daemon> open(DaemonSettings settings) {
        return Try.of(() -> new Daemon(settings)).flatMap(Daemon::openPorts);
    }

    /**
     * Handles a signal: the first starts a graceful stop, the second interrupts the requests in flight, the third
     * terminates immediately.
     */
    public void onSignal() {
        stop.onSignal(this::startDraining);
    }

    /**
     * Waits until the graceful stop has completed or was terminated.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stop.await();
    }

    /**
     * Returns the number of requests that are in flight or whose response has not been sent completely.
     *
     * @return the number of requests
     */
    public int unfinishedRequests() {
        int unsentPeerResponses = peerServer.map(PeerServer::unsentResponses).getOrElse(0);
        return Math.max(calls.size(), callerServer.unsentResponses() + unsentPeerResponses);
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
        tracer.close();
        controller.close();
    }

    private Try<Daemon> openPorts() {
        return PeerServer.open(
                        settings.peersAddress(),
                        (int) settings.peersPort(),
                        controller.getEventLoopGroup(),
                        links,
                        calls,
                        instrumentation)
                .flatMap(server -> {
                    peerServer = Option.some(server);
                    return callerServer.open(
                            settings.callersAddress(), (int) settings.callersPort(), (int) settings.ioThreads());
                })
                .flatMap(callersPort -> operatorServer
                        .open(settings.operatorsAddress(), (int) settings.operatorsPort())
                        .map(operatorsPort -> onPortsOpened(callersPort, operatorsPort)));
    }

    private Daemon onPortsOpened(int callersPort, int operatorsPort) {
        addGauges();
        runner.startTicking(settings.tickIntervalMillis());
        pollRepeatedly(hostListPoller::poll, settings.hostsIntervalMillis());
        pollRepeatedly(targetPoller::pollLoads, settings.loadIntervalMillis());
        pollRepeatedly(targetPoller::pollCaches, settings.cacheIntervalMillis());
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
        Logger.info("daemon: host {} started", settings.host());
        return this;
    }

    private void addGauges() {
        metrics.gauge("requests_in_flight", calls::size);
        metrics.gauge("attempts_at_targets", targets::size);
        metrics.gauge("attempts_forwarded", links.forwardedAttempts()::size);
        metrics.gauge("events_waiting", runner::backlog);
        metrics.gauge("caller_connections", callerServer::openConnections);
        metrics.gauge("claim_view_number", () -> (int) node.status().viewNumber());
        metrics.gauge(
                "configuration_generation", () -> (int) node.configuration().generation());
    }

    /** Runs a poll periodically, with jitter so that the polls of many hosts are spread over time. */
    private void pollRepeatedly(Runnable poll, long intervalMillis) {
        Try.run(poll::run).onFailure(error -> Logger.error(error, "daemon: a periodic poll failed"));
        double factor = 1
                - POLL_JITTER_RATIO
                + 2 * POLL_JITTER_RATIO * ThreadLocalRandom.current().nextDouble();
        long delayMillis = Math.max(1, Math.round(intervalMillis * factor));
        Try.run(() -> pollers.schedule(() -> pollRepeatedly(poll, intervalMillis), delayMillis, TimeUnit.MILLISECONDS));
    }

    private void execute(Action action) {
        if (action instanceof Action.StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof Action.CancelAttempt cancel) {
            instrumentation.attemptCancelled(cancel);
            targets.cancel(cancel.requestId(), cancel.attempt());
            links.forwardedAttempts().cancel(cancel.requestId(), cancel.attempt());
        } else if (action instanceof Action.Finish finish) {
            instrumentation.requestFinished(finish);
            logIfInterrupted(finish);
            calls.finish(finish.requestId(), finish.outcome());
        } else if (action instanceof Action.SendMessage send) {
            links.send(send.host(), send.message());
        } else if (action instanceof Action.CallStore call) {
            store.call(call);
        } else if (action instanceof Action.OrderTarget order) {
            targets.sendOrder(order);
        } else if (action instanceof Action.KeepLinks keep) {
            links.setPersistentHosts(keep.hosts());
        } else if (action instanceof Action.Stop) {
            pollers.execute(this::drainCallers);
        }
    }

    private void startDraining() {
        callerServer.startLeaving();
        runner.raise(new Event.DrainAsked());
    }

    /** Ends the requests in flight while there is time to send their responses, and drains the callers at once. */
    private void interruptRequests() {
        interruptedRequests = calls.requestIds();
        Logger.warn("daemon: the stop is overdue; interrupting {} requests in flight", interruptedRequests.size());
        runner.raise(new Event.StopOverdue());
        pollers.execute(() -> drainCallers().interrupt());
    }

    private void logIfInterrupted(Action.Finish finish) {
        if (!interruptedRequests.contains(finish.requestId()) || finish.outcome() instanceof Outcome.Answered) {
            return;
        }
        calls.find(finish.requestId())
                .forEach(call -> Logger.warn(
                        "daemon: the stop interrupted request {} of {} to {} after {} stream events; outcome: {}",
                        finish.requestId(),
                        call.request().account(),
                        call.request().service(),
                        call.streamEventsRelayed(),
                        finish.outcome().label()));
    }

    private CallerDrain drainCallers() {
        if (callerDrain.isEmpty()) {
            CallerDrain drain = new CallerDrain(callerServer, this::unfinishedRequests, clock::nowMillis);
            callerDrain = Option.some(drain);
            advanceDrain(drain);
        }
        return callerDrain.get();
    }

    private void advanceDrain(CallerDrain drain) {
        if (drain.advance() && peerServer.forAll(PeerServer::closeIdleConnections) && unfinishedRequests() == 0) {
            stop.complete();
        } else if (!stop.isTerminated()) {
            pollers.schedule(() -> advanceDrain(drain), DRAIN_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void startAttempt(Action.StartAttempt start) {
        calls.find(start.requestId())
                .peek(call -> {
                    String traceParent = instrumentation.attemptStarted(start);
                    if (start.route() instanceof Route.ToTarget) {
                        targets.start(call, start, traceParent);
                    } else {
                        links.forwardedAttempts().start(call, start, traceParent);
                    }
                })
                .onEmpty(() -> {
                    Failure failure = Failure.of(
                            Step.CONNECT,
                            start.route().peer(),
                            "the requester disconnected before the attempt started");
                    runner.raise(new Event.AttemptEnded(
                            start.requestId(), start.attempt(), new AttemptResult.NotRun(failure, 0)));
                });
    }

    private AttemptLimits attemptLimits() {
        return new AttemptLimits(
                (int) settings.maxAnswerBytes(),
                (int) Math.min(settings.maxAnswerBytes(), settings.maxFrameBytes() - FRAME_OVERHEAD_BYTES),
                responseMemory,
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
