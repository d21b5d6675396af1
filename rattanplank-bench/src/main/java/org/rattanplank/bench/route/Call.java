package org.rattanplank.bench.route;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.route.Eligibility;
import org.rattanplank.core.route.Route;
import org.rattanplank.core.route.RoutingDecision;

/**
 * Processes one request at one entry host and calls the router as the product's request flow does.
 *
 * <p>Invariant: the listener is notified once unless the request is cancelled, and the result of an
 * outdated attempt is ignored. Confined to one thread.
 */
final class Call {
    private static final long CONNECTION_ERROR_DELAY_MILLIS = 5;
    private static final Answer EMPTY_RESPONSE = Answer.of(200, "application/json", new byte[0]);

    private final Simulation simulation;
    private final Host host;
    private final Arrival arrival;
    private final Request request;
    private final OutcomeListener listener;
    /** The names of the targets and hosts that an attempt was sent to. */
    private final Set<String> triedPeers = new HashSet<>();

    private Runnable cancelAttempt = () -> {};
    private Option<Route> route = Option.none();
    private int currentAttempt;
    private long attemptStartedAtMillis;
    private boolean finished;

    Call(Simulation simulation, Host host, Arrival arrival, Request request, OutcomeListener listener) {
        this.simulation = simulation;
        this.host = host;
        this.arrival = arrival;
        this.request = request;
        this.listener = listener;
    }

    void start() {
        Option<RoutingDecision.Reject> rejection = host.router.admit(request, now());
        if (rejection.isDefined()) {
            finished = true;
            listener.notRun(rejection.get().retryAfterMillis());
            return;
        }
        simulation.scheduler().schedule(request.deadlineMillis() - now(), this::expire);
        chooseRoute();
    }

    /** Cancels the request, because its requester no longer waits for it. */
    void cancel() {
        if (!finished) {
            finish();
            cancelAttempt.run();
        }
    }

    void linkDisconnected(int region) {
        boolean isForwardedToRegion = route.exists(chosen ->
                chosen instanceof Route.ToHost toHost && toHost.region().equals(simulation.regionName(region)));
        if (!finished && isForwardedToRegion) {
            attemptFailed(currentAttempt, new AttemptResult.Lost(Failure.of(Step.FORWARD, "", "link disconnected"), 0));
        }
    }

    /** Cancels the request at its deadline and reports its outcome as unknown, because an attempt may have run. */
    private void expire() {
        if (!finished) {
            cancel();
            listener.unknown();
        }
    }

    private void finish() {
        finished = true;
        host.removeForwarded(this);
        host.router.recordFinish(request, now());
    }

    private void chooseRoute() {
        Set<String> allowed = arrival.allRegionsAllowed() ? simulation.regionNames() : Set.of(request.homeRegion());
        RoutingDecision routing =
                host.router.choose(request, new Eligibility(allowed, !request.isForwarded(), triedPeers), now());
        if (routing instanceof RoutingDecision.Dispatch dispatch) {
            startAttempt(dispatch.route());
        } else if (routing instanceof RoutingDecision.Reject reject) {
            finish();
            listener.notRun(reject.retryAfterMillis());
        }
    }

    private void startAttempt(Route next) {
        currentAttempt++;
        simulation.results().recordAttempt(request.isForwarded(), currentAttempt);
        attemptStartedAtMillis = now();
        route = Option.some(next);
        triedPeers.add(next.peer());
        host.router.recordStart(request, next, now());
        if (next instanceof Route.ToHost) {
            forward(next.peer(), currentAttempt);
        } else {
            send(simulation.target(next.peer()), currentAttempt);
        }
    }

    private void send(StandInTarget target, int number) {
        if (!target.isUp()) {
            AttemptResult connectionRefused =
                    new AttemptResult.NotRun(Failure.of(Step.CONNECT, target.listed.name(), "connection refused"), 0);
            simulation
                    .scheduler()
                    .schedule(CONNECTION_ERROR_DELAY_MILLIS, () -> attemptFailed(number, connectionRefused));
            return;
        }
        StandInTarget.Job job = target.submit(arrival, new StandInTarget.JobListener() {
            @Override
            public void completed(long firstTokenMillis) {
                attemptCompleted(number, target.region, firstTokenMillis);
            }

            @Override
            public void failed() {
                AttemptResult lost =
                        new AttemptResult.Lost(Failure.of(Step.RECEIVE, target.listed.name(), "connection reset"), 0);
                simulation.scheduler().schedule(CONNECTION_ERROR_DELAY_MILLIS, () -> attemptFailed(number, lost));
            }
        });
        cancelAttempt = () -> target.cancel(job);
    }

    private void forward(String peer, int number) {
        Host other = simulation.host(peer);
        long delayMillis = simulation.interRegionDelayMillis();
        simulation.results().recordForward();
        host.addForwarded(this);
        if (simulation.isPartitioned(host.region, other.region)) {
            AttemptResult notRun = new AttemptResult.NotRun(Failure.of(Step.FORWARD, peer, "not connected"), 0);
            simulation.scheduler().schedule(Simulation.LINK_TIMEOUT_MILLIS, () -> attemptFailed(number, notRun));
            return;
        }
        Request forwardedRequest = request.forwardedBy(host.name, false);
        Call remoteCall = new Call(simulation, other, arrival, forwardedRequest, new OutcomeListener() {
            @Override
            public void answered(int region, long firstTokenMillis) {
                sendBack(() -> attemptCompleted(number, region, firstTokenMillis + delayMillis));
            }

            @Override
            public void notRun(long retryAfterMillis) {
                sendBack(() -> attemptFailed(
                        number, new AttemptResult.NotRun(Failure.of(Step.ROUTE, peer, "rejected"), retryAfterMillis)));
            }

            @Override
            public void unknown() {
                sendBack(() -> attemptFailed(
                        number, new AttemptResult.Lost(Failure.of(Step.FORWARD, peer, "outcome unknown"), 0)));
            }

            private void sendBack(Runnable action) {
                if (!simulation.isPartitioned(host.region, other.region)) {
                    simulation.scheduler().schedule(delayMillis, action);
                }
            }
        });
        simulation.scheduler().schedule(delayMillis, remoteCall::start);
        cancelAttempt = () -> simulation.scheduler().schedule(delayMillis, remoteCall::cancel);
    }

    private void attemptCompleted(int number, int region, long firstTokenMillis) {
        if (finished || number != currentAttempt) {
            return;
        }
        long elapsedMillis = now() - attemptStartedAtMillis;
        host.router.recordEnd(
                request, route.get(), new AttemptResult.Completed(EMPTY_RESPONSE, List.of()), elapsedMillis, now());
        finish();
        listener.answered(region, firstTokenMillis);
    }

    private void attemptFailed(int number, AttemptResult result) {
        if (finished || number != currentAttempt) {
            return;
        }
        host.removeForwarded(this);
        cancelAttempt = () -> {};
        host.router.recordEnd(request, route.get(), result, now() - attemptStartedAtMillis, now());
        boolean isSafeToRetry = result instanceof AttemptResult.NotRun || request.repeatable();
        if (isSafeToRetry && host.router.mayRetry(request, currentAttempt, now())) {
            chooseRoute();
            return;
        }
        finish();
        if (result instanceof AttemptResult.NotRun notRun) {
            listener.notRun(notRun.retryAfterMillis());
        } else {
            listener.unknown();
        }
    }

    private long now() {
        return simulation.scheduler().nowMillis();
    }
}
