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

/** The numbers of one entry host, by Dropwizard Metrics. Thread safe. */
public final class DaemonMetrics {
    private static final String PREFIX = "rattanplank_";
    private static final String ANSWERED = "answered";

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Counts a request's outcome.
     *
     * @param outcome the outcome
     * @param claimed whether the request was one that may not be repeated
     */
    public void finished(Outcome outcome, boolean claimed) {
        String labels =
                "outcome=\"%s\",step=\"%s\",claimed=\"%s\"".formatted(outcome.label(), stepOf(outcome), claimed);
        registry.counter(name("requests_total", labels)).inc();
    }

    /** Counts a request whose asker left before its outcome. */
    public void askerLeft() {
        registry.counter(name("askers_left_total", "")).inc();
    }

    /**
     * Counts an attempt and its time.
     *
     * @param kind target or peer
     * @param result how it ended
     * @param tookNanos how long it took
     */
    public void attemptEnded(String kind, AttemptResult result, long tookNanos) {
        String labels = "kind=\"%s\",result=\"%s\",step=\"%s\"".formatted(kind, labelOf(result), stepOf(result));
        registry.timer(name("attempts", labels)).update(tookNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts a call to the store.
     *
     * @param reply how it ended
     */
    public void storeReplied(StoreReply reply) {
        String label = reply.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
        registry.counter(name("store_calls_total", "reply=\"" + label + "\"")).inc();
    }

    /**
     * Counts bytes between hosts, or between this host and the platform and targets.
     *
     * @param kind control for all that is not a caller's request or its answer, forward for the rest
     * @param direction in or out
     * @param bytes how many
     */
    public void traffic(String kind, String direction, long bytes) {
        String labels = "kind=\"%s\",direction=\"%s\"".formatted(kind, direction);
        registry.counter(name("traffic_bytes_total", labels)).inc(bytes);
    }

    /**
     * Counts a message about claims.
     *
     * @param direction in or out
     */
    public void claimMessage(String direction) {
        registry.counter(name("claim_messages_total", "direction=\"" + direction + "\""))
                .inc();
    }

    /**
     * Shows a number that is read when it is asked for.
     *
     * @param name its name
     * @param value reads it
     */
    public void gauge(String name, IntSupplier value) {
        Gauge<Integer> gauge = value::getAsInt;
        registry.register(name(name, ""), gauge);
    }

    /**
     * Writes all numbers.
     *
     * @return Prometheus's text format
     */
    public String text() {
        return PrometheusText.of(registry);
    }

    private static String name(String name, String labels) {
        return PREFIX + name + (labels.isEmpty() ? "" : "{" + labels + "}");
    }

    private static String labelOf(AttemptResult result) {
        if (result instanceof AttemptResult.Whole) {
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
