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
 * One request at one entry host; it calls the router as the product's request flow does.
 *
 * <p>Invariant: it replies once, and a result of an attempt that is no longer current is dropped. Confined to one
 * thread.
 */
final class Call {
    private static final long REFUSED_MILLIS = 5;
    private static final Answer ANSWER = Answer.of(200, "application/json", new byte[0]);

    private final Simulation run;
    private final Host host;
    private final Arrival arrival;
    private final Request request;
    private final Reply reply;
    private final Set<String> tried = new HashSet<>();
    private Runnable cancelAttempt = () -> {};
    private Option<Route> route = Option.none();
    private int attempt;
    private long attemptAtMillis;
    private boolean done;

    Call(Simulation run, Host host, Arrival arrival, Request request, Reply reply) {
        this.run = run;
        this.host = host;
        this.arrival = arrival;
        this.request = request;
        this.reply = reply;
    }

    void start() {
        Option<RoutingDecision.Reject> refusal = host.router.admit(request, now());
        if (refusal.isDefined()) {
            done = true;
            reply.notRun(refusal.get().retryAfterMillis());
            return;
        }
        run.time().after(request.deadlineMillis() - now(), this::expire);
        route();
    }

    /** Stops the request, because whoever asked no longer waits. */
    void cancel() {
        if (!done) {
            finish();
            cancelAttempt.run();
        }
    }

    void linkLost(int region) {
        boolean isThere = route.exists(
                there -> there instanceof Route.ToHost toHost && toHost.region().equals(run.regionName(region)));
        if (!done && isThere) {
            ended(attempt, new AttemptResult.Lost(Failure.of(Step.FORWARD, "", "the link broke"), 0));
        }
    }

    private void expire() {
        if (!done) {
            cancel();
            reply.unknown();
        }
    }

    private void finish() {
        done = true;
        host.forgets(this);
        host.router.recordFinish(request, now());
    }

    private void route() {
        Set<String> allowed = arrival.mayCross() ? run.regionNames() : Set.of(request.homeRegion());
        RoutingDecision routing =
                host.router.choose(request, new Eligibility(allowed, !request.isForwarded(), tried), now());
        if (routing instanceof RoutingDecision.Dispatch go) {
            go(go.route());
        } else if (routing instanceof RoutingDecision.Reject refuse) {
            finish();
            reply.notRun(refuse.retryAfterMillis());
        }
    }

    private void go(Route next) {
        attempt++;
        run.results().attempted(request.isForwarded(), attempt);
        attemptAtMillis = now();
        route = Option.some(next);
        tried.add(next.peer());
        host.router.recordStart(request, next, now());
        if (next instanceof Route.ToHost) {
            forward(next.peer(), attempt);
        } else {
            send(run.target(next.peer()), attempt);
        }
    }

    private void send(StandInTarget target, int number) {
        if (!target.isUp()) {
            AttemptResult refused =
                    new AttemptResult.NotRun(Failure.of(Step.CONNECT, target.listed.name(), "refused"), 0);
            run.time().after(REFUSED_MILLIS, () -> ended(number, refused));
            return;
        }
        StandInTarget.Job job = target.take(arrival, new StandInTarget.JobEnd() {
            @Override
            public void answered(long firstTokenMillis) {
                answeredBy(number, target.region, firstTokenMillis);
            }

            @Override
            public void lost() {
                AttemptResult lost = new AttemptResult.Lost(Failure.of(Step.RECEIVE, target.listed.name(), "reset"), 0);
                run.time().after(REFUSED_MILLIS, () -> ended(number, lost));
            }
        });
        cancelAttempt = () -> target.cancel(job);
    }

    private void forward(String peer, int number) {
        Host other = run.host(peer);
        long crossing = run.crossingMillis();
        run.results().crossed();
        host.forwards(this);
        if (run.isCut(host.region, other.region)) {
            AttemptResult notRun = new AttemptResult.NotRun(Failure.of(Step.FORWARD, peer, "no link"), 0);
            run.time().after(Simulation.LINK_TIMEOUT_MILLIS, () -> ended(number, notRun));
            return;
        }
        Request asSeen = request.forwardedBy(host.name, false);
        Call there = new Call(run, other, arrival, asSeen, new Reply() {
            @Override
            public void answered(int region, long firstTokenMillis) {
                back(() -> answeredBy(number, region, firstTokenMillis + crossing));
            }

            @Override
            public void notRun(long retryAfterMillis) {
                back(() -> ended(
                        number, new AttemptResult.NotRun(Failure.of(Step.ROUTE, peer, "refused"), retryAfterMillis)));
            }

            @Override
            public void unknown() {
                back(() -> ended(number, new AttemptResult.Lost(Failure.of(Step.FORWARD, peer, "unknown"), 0)));
            }

            private void back(Runnable action) {
                if (!run.isCut(host.region, other.region)) {
                    run.time().after(crossing, action);
                }
            }
        });
        run.time().after(crossing, there::start);
        cancelAttempt = () -> run.time().after(crossing, there::cancel);
    }

    private void answeredBy(int number, int region, long firstTokenMillis) {
        if (done || number != attempt) {
            return;
        }
        long took = now() - attemptAtMillis;
        host.router.recordEnd(request, route.get(), new AttemptResult.Completed(ANSWER, List.of()), took, now());
        finish();
        reply.answered(region, firstTokenMillis);
    }

    private void ended(int number, AttemptResult result) {
        if (done || number != attempt) {
            return;
        }
        host.forgets(this);
        cancelAttempt = () -> {};
        host.router.recordEnd(request, route.get(), result, now() - attemptAtMillis, now());
        boolean mayRunAgain = result instanceof AttemptResult.NotRun || request.repeatable();
        if (mayRunAgain && host.router.mayRetry(request, attempt, now())) {
            route();
            return;
        }
        finish();
        if (result instanceof AttemptResult.NotRun notRun) {
            reply.notRun(notRun.retryAfterMillis());
        } else {
            reply.unknown();
        }
    }

    private long now() {
        return run.time().nowMillis();
    }
}
