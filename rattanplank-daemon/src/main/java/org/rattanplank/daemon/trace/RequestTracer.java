package org.rattanplank.daemon.trace;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.vavr.control.Option;
import org.rattanplank.daemon.call.AttemptKey;

/**
 * Records the spans of requests in flight: one for each request at this host, with a child span for each attempt.
 *
 * <p>Invariant: a span is in its table from start to end. Thread safe without locks.
 */
public final class RequestTracer implements AutoCloseable {
    private static final String TRACE_PARENT = "traceparent";
    private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();

    private final OpenTelemetry telemetry;
    private final Tracer tracer;
    private final Map<String, Span> requests = new ConcurrentHashMap<>();
    private final Map<AttemptKey, Span> attempts = new ConcurrentHashMap<>();

    private RequestTracer(OpenTelemetry telemetry) {
        this.telemetry = telemetry;
        tracer = telemetry.getTracer("org.rattanplank");
    }

    /**
     * Creates a tracer without spans.
     *
     * @param exporter the destination of spans
     * @param host this host's name
     * @param url the URL of the collector, or empty
     * @return the tracer
     */
    public static RequestTracer of(TraceExporter exporter, String host, String url) {
        return new RequestTracer(exporter.open(host, url));
    }

    /**
     * Starts the span of a request.
     *
     * @param requestId the request's identifier
     * @param name {@code entry} or {@code peer}
     * @param traceParent the trace context of the requester, or empty
     */
    public void requestStarted(String requestId, String name, String traceParent) {
        Context parent = W3C.extract(Context.root(), Map.of(TRACE_PARENT, traceParent), new MapGetter());
        requests.put(
                requestId,
                tracer.spanBuilder(name)
                        .setParent(parent)
                        .setSpanKind(SpanKind.SERVER)
                        .setAttribute("rattanplank.request", requestId)
                        .startSpan());
    }

    /**
     * Ends the span of a request.
     *
     * @param requestId the request's identifier
     * @param outcome the outcome's label
     * @param step the step that failed, or empty
     */
    public void requestEnded(String requestId, String outcome, String step) {
        Option.of(requests.remove(requestId)).forEach(span -> end(span, outcome, step));
    }

    /**
     * Starts the span of an attempt.
     *
     * @param key the attempt
     * @param name {@code target} or {@code forward}
     * @param peer the target or host that the attempt is sent to
     * @return the trace context to propagate, or empty
     */
    public String attemptStarted(AttemptKey key, String name, String peer) {
        Context parent = Option.of(requests.get(key.requestId()))
                .map(span -> Context.root().with(span))
                .getOrElse(Context::root);
        Span span = tracer.spanBuilder(name)
                .setParent(parent)
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute("rattanplank.peer", peer)
                .setAttribute("rattanplank.attempt", key.attempt())
                .startSpan();
        attempts.put(key, span);
        Map<String, String> carrier = new HashMap<>();
        W3C.inject(Context.root().with(span), carrier, (map, header, value) -> map.put(header, value));
        return carrier.getOrDefault(TRACE_PARENT, "");
    }

    /**
     * Ends the span of an attempt.
     *
     * @param key the attempt
     * @param result the result's label
     * @param step the step that failed, or empty
     */
    public void attemptEnded(AttemptKey key, String result, String step) {
        Option.of(attempts.remove(key)).forEach(span -> end(span, result, step));
    }

    @Override
    public void close() {
        if (telemetry instanceof io.opentelemetry.sdk.OpenTelemetrySdk sdk) {
            sdk.close();
        }
    }

    private static void end(Span span, String outcome, String step) {
        span.setAttribute("rattanplank.outcome", outcome);
        if (!step.isEmpty()) {
            span.setAttribute("rattanplank.step", step);
            span.setStatus(StatusCode.ERROR, outcome);
        }
        span.end();
    }

    /** Reads headers from a map. */
    private static final class MapGetter implements TextMapGetter<Map<String, String>> {
        @Override
        @SuppressWarnings("deprecation")
        public Iterable<String> keys(Map<String, String> carrier) {
            return carrier.keySet();
        }

        @Override
        public String get(Map<String, String> carrier, String key) {
            return carrier.getOrDefault(key, "");
        }
    }
}
