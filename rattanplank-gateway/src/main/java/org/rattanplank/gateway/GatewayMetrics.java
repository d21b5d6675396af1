package org.rattanplank.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.rattanplank.gateway.target.AttemptFailure;

/** The numbers of one gateway process, by Dropwizard Metrics. Thread safe. */
public final class GatewayMetrics {
    private static final String PREFIX = "rattanplank_gateway_";

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Counts a send to a target or another region.
     *
     * @param attempt which attempt of its request it is, 1 for the first
     */
    public void sent(int attempt) {
        count("sends_total", "attempt=\"" + (attempt == 1 ? "first" : "repeat") + "\"");
    }

    /**
     * Counts an attempt that failed.
     *
     * @param failure what may have run
     */
    public void attemptFailed(AttemptFailure failure) {
        count("attempts_failed_total", "failure=\"" + failure.name().toLowerCase(java.util.Locale.ROOT) + "\"");
    }

    /**
     * Counts a request that ended without a target's whole answer.
     *
     * @param outcome how it ended
     */
    public void ended(String outcome) {
        count("requests_total", "outcome=\"" + outcome + "\"");
    }

    /**
     * Counts a request that a target answered.
     *
     * @param tookMillis from its arrival to the end of its answer
     */
    public void answered(long tookMillis) {
        count("requests_total", "outcome=\"answered\"");
        registry.timer(PREFIX + "request{}").update(tookMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Shows a number that changes by itself.
     *
     * @param name its name
     * @param value reads it
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(PREFIX + name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Writes all numbers.
     *
     * @return Prometheus's text format
     */
    public String text() {
        return PrometheusText.of(registry);
    }

    private void count(String name, String labels) {
        registry.counter(PREFIX + name + "{" + labels + "}").inc();
    }
}
