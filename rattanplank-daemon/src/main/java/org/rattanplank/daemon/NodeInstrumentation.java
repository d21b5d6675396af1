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
import org.rattanplank.daemon.runtime.EventSink;
import org.rattanplank.daemon.trace.RequestTracer;

/**
 * Records metrics and traces of the events that enter the node and of the actions that it returns.
 *
 * <p>Invariant: events and actions are passed on unchanged. Thread safe; running attempts are in a concurrent map.
 */
final class NodeInstrumentation implements EventSink {
    private static final String TARGET = "target";
    private static final String FORWARD = "forward";
    private static final String NOT_RUN = "not run";

    private final EventSink eventSink;
    private final Calls calls;
    private final DaemonMetrics metrics;
    private final RequestTracer tracer;
    private final Map<AttemptKey, RunningAttempt> attempts = new ConcurrentHashMap<>();

    NodeInstrumentation(EventSink eventSink, Calls calls, DaemonMetrics metrics, RequestTracer tracer) {
        this.eventSink = eventSink;
        this.calls = calls;
        this.metrics = metrics;
        this.tracer = tracer;
    }

    @Override
    public void raise(Event event) {
        if (event instanceof Event.AttemptEnded ended) {
            attemptEnded(ended);
        } else if (event instanceof Event.RequesterLeft left) {
            metrics.requesterLeft();
            tracer.requestEnded(left.requestId(), "asker left", "");
        }
        eventSink.raise(event);
    }

    @Override
    public boolean offer(Event event) {
        if (event instanceof Event.CallerRequestReceived received) {
            requestStarted(received.request().id(), "entry");
        } else if (event instanceof Event.PeerRequestReceived received) {
            requestStarted(received.request().id(), "peer");
        }
        boolean accepted = eventSink.offer(event);
        if (!accepted && event instanceof Event.CallerRequestReceived received) {
            tracer.requestEnded(received.request().id(), NOT_RUN, "admit");
        } else if (!accepted && event instanceof Event.PeerRequestReceived received) {
            tracer.requestEnded(received.request().id(), NOT_RUN, "admit");
        }
        return accepted;
    }

    /** Records the start of an attempt and returns the trace context to propagate. */
    String attemptStarted(Action.StartAttempt start) {
        AttemptKey key = new AttemptKey(start.requestId(), start.attempt());
        String kind = start.route() instanceof Route.ToTarget ? TARGET : FORWARD;
        attempts.put(key, new RunningAttempt(kind, System.nanoTime()));
        return tracer.attemptStarted(key, kind, start.route().peer());
    }

    void attemptCancelled(Action.CancelAttempt cancel) {
        AttemptKey key = new AttemptKey(cancel.requestId(), cancel.attempt());
        attempts.remove(key);
        tracer.attemptEnded(key, "cancelled", "");
    }

    void requestFinished(Action.Finish finish) {
        boolean claimed =
                calls.find(finish.requestId()).exists(call -> !call.request().repeatable());
        metrics.requestFinished(finish.outcome(), claimed);
        tracer.requestEnded(finish.requestId(), finish.outcome().label(), stepOf(finish.outcome()));
    }

    private void requestStarted(String requestId, String name) {
        calls.find(requestId)
                .forEach(call ->
                        tracer.requestStarted(requestId, name, call.envelope().traceParent()));
    }

    private void attemptEnded(Event.AttemptEnded ended) {
        AttemptKey key = new AttemptKey(ended.requestId(), ended.attempt());
        Option.of(attempts.remove(key))
                .forEach(running -> metrics.attemptEnded(
                        running.kind(), ended.result(), System.nanoTime() - running.startedAtNanos()));
        if (ended.result() instanceof AttemptResult.NotRun notRun) {
            tracer.attemptEnded(key, "not run", notRun.failure().step().label());
        } else if (ended.result() instanceof AttemptResult.Lost lost) {
            tracer.attemptEnded(key, "lost", lost.failure().step().label());
        } else {
            tracer.attemptEnded(key, "answered", "");
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

    private record RunningAttempt(String kind, long startedAtNanos) {}
}
