package org.rattanplank.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.route.Route;
import org.rattanplank.daemon.call.AttemptKey;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.metric.DaemonMetrics;
import org.rattanplank.daemon.runtime.Events;
import org.rattanplank.daemon.trace.Traces;

/**
 * Counts and traces what goes to the node and what comes from it.
 *
 * <p>Invariant: it changes no event and no action. Thread safe; the table of attempts has no lock of its own.
 */
final class Observer implements Events {
    private static final String TARGET = "target";
    private static final String FORWARD = "forward";
    private static final String NOT_TAKEN = "not run";

    private final Events node;
    private final Calls calls;
    private final DaemonMetrics metrics;
    private final Traces traces;
    private final Map<AttemptKey, Started> attempts = new ConcurrentHashMap<>();

    Observer(Events node, Calls calls, DaemonMetrics metrics, Traces traces) {
        this.node = node;
        this.calls = calls;
        this.metrics = metrics;
        this.traces = traces;
    }

    @Override
    public void raise(Event event) {
        if (event instanceof Event.AttemptEnded ended) {
            attemptEnded(ended);
        } else if (event instanceof Event.RequesterLeft left) {
            metrics.askerLeft();
            traces.requestEnded(left.requestId(), "asker left", "");
        }
        node.raise(event);
    }

    @Override
    public boolean offer(Event event) {
        if (event instanceof Event.CallerRequestReceived asked) {
            requestStarted(asked.request().id(), "entry");
        } else if (event instanceof Event.PeerRequestReceived asked) {
            requestStarted(asked.request().id(), "peer");
        }
        boolean taken = node.offer(event);
        if (!taken && event instanceof Event.CallerRequestReceived asked) {
            traces.requestEnded(asked.request().id(), NOT_TAKEN, "admit");
        } else if (!taken && event instanceof Event.PeerRequestReceived asked) {
            traces.requestEnded(asked.request().id(), NOT_TAKEN, "admit");
        }
        return taken;
    }

    /** Takes note of an attempt; the trace context for the other side comes back. */
    String started(Action.StartAttempt start) {
        AttemptKey key = new AttemptKey(start.requestId(), start.attempt());
        String kind = start.route() instanceof Route.ToTarget ? TARGET : FORWARD;
        attempts.put(key, new Started(kind, System.nanoTime()));
        return traces.attemptStarted(key, kind, start.route().peer());
    }

    void cancelled(Action.CancelAttempt cancel) {
        AttemptKey key = new AttemptKey(cancel.requestId(), cancel.attempt());
        attempts.remove(key);
        traces.attemptEnded(key, "cancelled", "");
    }

    void finished(Action.Finish finish) {
        boolean claimed =
                calls.find(finish.requestId()).exists(call -> !call.request().repeatable());
        metrics.finished(finish.outcome(), claimed);
        traces.requestEnded(finish.requestId(), finish.outcome().label(), stepOf(finish.outcome()));
    }

    private void requestStarted(String requestId, String name) {
        calls.find(requestId)
                .forEach(call ->
                        traces.requestStarted(requestId, name, call.envelope().traceParent()));
    }

    private void attemptEnded(Event.AttemptEnded ended) {
        AttemptKey key = new AttemptKey(ended.requestId(), ended.attempt());
        Option.of(attempts.remove(key))
                .forEach(started ->
                        metrics.attemptEnded(started.kind(), ended.result(), System.nanoTime() - started.atNanos()));
        if (ended.result() instanceof AttemptResult.NotRun notRun) {
            traces.attemptEnded(key, "not run", notRun.failure().step().label());
        } else if (ended.result() instanceof AttemptResult.Lost lost) {
            traces.attemptEnded(key, "lost", lost.failure().step().label());
        } else {
            traces.attemptEnded(key, "answered", "");
        }
    }

    private static String stepOf(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRun.failure().step().label();
        }
        return outcome instanceof Outcome.Unknown unknown
                ? unknown.failure().step().label()
                : "";
    }

    private record Started(String kind, long atNanos) {}
}
