package org.rattanplank.daemon.metric;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.gateway.PrometheusText;

/** Metrics of one entry host, recorded with Dropwizard Metrics. Thread safe. */
public final class DaemonMetrics {
    private static final String PREFIX = "rattanplank_";
    private static final String ANSWERED = "answered";

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Records the outcome of a request.
     *
     * @param outcome the outcome
     * @param claimed whether the request must not be retried and therefore needs a claim
     */
    public void requestFinished(Outcome outcome, boolean claimed) {
        String labels =
                "outcome=\"%s\",step=\"%s\",claimed=\"%s\"".formatted(outcome.label(), stepOf(outcome), claimed);
        registry.counter(name("requests_total", labels)).inc();
    }

    /** Counts a request whose requester disconnected before the outcome. */
    public void requesterLeft() {
        registry.counter(name("askers_left_total", "")).inc();
    }

    /**
     * Records the result and duration of an attempt.
     *
     * @param kind {@code target} or {@code forward}
     * @param result the result
     * @param durationNanos the duration
     */
    public void attemptEnded(String kind, AttemptResult result, long durationNanos) {
        String labels = "kind=\"%s\",result=\"%s\",step=\"%s\"".formatted(kind, labelOf(result), stepOf(result));
        registry.timer(name("attempts", labels)).update(durationNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts a call to the store.
     *
     * @param reply the reply of the store
     */
    public void storeReplied(StoreReply reply) {
        String label = reply.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
        registry.counter(name("store_calls_total", "reply=\"" + label + "\"")).inc();
    }

    /**
     * Counts bytes transferred between hosts, or between this host and the platform or targets.
     *
     * @param kind {@code forward} for forwarded requests and their responses, {@code control} for all other traffic
     * @param direction {@code in} or {@code out}
     * @param bytes the number of bytes
     */
    public void traffic(String kind, String direction, long bytes) {
        String labels = "kind=\"%s\",direction=\"%s\"".formatted(kind, direction);
        registry.counter(name("traffic_bytes_total", labels)).inc(bytes);
    }

    /**
     * Counts a message about claims.
     *
     * @param direction {@code in} or {@code out}
     */
    public void claimMessage(String direction) {
        registry.counter(name("claim_messages_total", "direction=\"" + direction + "\""))
                .inc();
    }

    /**
     * Registers a gauge that is evaluated whenever the metrics are read.
     *
     * @param name the metric's name without prefix
     * @param value supplies the current value
     */
    public void gauge(String name, IntSupplier value) {
        Gauge<Integer> gauge = value::getAsInt;
        registry.register(name(name, ""), gauge);
    }

    /**
     * Returns all metrics.
     *
     * @return the metrics in Prometheus text format
     */
    public String text() {
        return PrometheusText.of(registry);
    }

    private static String name(String name, String labels) {
        return PREFIX + name + (labels.isEmpty() ? "" : "{" + labels + "}");
    }

    private static String labelOf(AttemptResult result) {
        if (result instanceof AttemptResult.Completed) {
            return ANSWERED;
        }
        return result instanceof AttemptResult.NotRun ? "not run" : "lost";
    }

    private static String stepOf(AttemptResult result) {
        if (result instanceof AttemptResult.NotRun notRun) {
            return stepOf(notRun.failure());
        }
        return result instanceof AttemptResult.Lost lost ? stepOf(lost.failure()) : "";
    }

    private static String stepOf(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return stepOf(notRun.failure());
        }
        return outcome instanceof Outcome.Unknown unknown ? stepOf(unknown.failure()) : "";
    }

    private static String stepOf(Failure failure) {
        return failure.step().label();
    }
}
