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
 * The spans of requests in flight: one for the request at this host, one for each attempt below it.
 *
 * <p>Invariant: a span is in the table from its start until its end. Thread safe; the tables have no lock of their own.
 */
public final class Traces implements AutoCloseable {
    private static final String TRACE_PARENT = "traceparent";
    private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();

    private final OpenTelemetry telemetry;
    private final Tracer tracer;
    private final Map<String, Span> requests = new ConcurrentHashMap<>();
    private final Map<AttemptKey, Span> attempts = new ConcurrentHashMap<>();

    private Traces(OpenTelemetry telemetry) {
        this.telemetry = telemetry;
        tracer = telemetry.getTracer("org.rattanplank");
    }

    /**
     * Makes traces that hold no span.
     *
     * @param exporter where spans go
     * @param host this host's name
     * @param url the collector's address, or empty
     * @return the traces
     */
    public static Traces of(TraceExporter exporter, String host, String url) {
        return new Traces(exporter.open(host, url));
    }

    /**
     * Begins a request's span.
     *
     * @param requestId the request
     * @param name entry or peer
     * @param traceParent the trace context of whoever asked, or empty
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
     * Ends a request's span.
     *
     * @param requestId the request
     * @param outcome the outcome's label
     * @param step the step at which an error arose, or empty
     */
    public void requestEnded(String requestId, String outcome, String step) {
        Option.of(requests.remove(requestId)).forEach(span -> end(span, outcome, step));
    }

    /**
     * Begins an attempt's span.
     *
     * @param key the attempt
     * @param name target or forward
     * @param peer the other side
     * @return the trace context for the other side, or empty
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
        W3C.inject(Context.root().with(span), carrier, (map, name1, value) -> map.put(name1, value));
        return carrier.getOrDefault(TRACE_PARENT, "");
    }

    /**
     * Ends an attempt's span.
     *
     * @param key the attempt
     * @param result how it ended
     * @param step the step at which an error arose, or empty
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

    /** Reads a header out of a map. */
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
