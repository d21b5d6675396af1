package org.rattanplank.gateway;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.HdrHistogram.ConcurrentHistogram;
import org.rattanplank.gateway.target.AttemptFailure;

/** The numbers of one gateway process, by Dropwizard Metrics. Thread safe. */
public final class GatewayMetrics {
    private static final String PREFIX = "rattanplank_gateway_";

    /** Two digits tell 1.00 s from 1.01 s, at some 10 KB a histogram. */
    private static final int DIGITS = 2;

    private static final long LONGEST_MILLIS = 120_000;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};
    private static final double PERCENT = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<Latency, ConcurrentHistogram> latencies = new EnumMap<>(Latency.class);

    /** Makes empty metrics. */
    public GatewayMetrics() {
        for (Latency latency : Latency.values()) {
            latencies.put(latency, new ConcurrentHistogram(LONGEST_MILLIS, DIGITS));
        }
    }

    /**
     * Takes a time.
     *
     * @param latency what it is of
     * @param millis the time
     */
    public void took(Latency latency, double millis) {
        latencies.get(latency).recordValue(Math.max(0, Math.min(LONGEST_MILLIS, Math.round(millis))));
    }

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
        count("attempts_failed_total", "failure=\"" + failure.name().toLowerCase(Locale.ROOT) + "\"");
    }

    /**
     * Counts a request that ended without a target's whole answer.
     *
     * @param outcome how it ended
     */
    public void ended(String outcome) {
        count("requests_total", "outcome=\"" + outcome + "\"");
    }

    /** Counts a request that a target answered. */
    public void answered() {
        count("requests_total", "outcome=\"answered\"");
    }

    /** Counts an item of the store that can't be read. */
    public void unreadableItem() {
        registry.counter(PREFIX + "unreadable_items_total").inc();
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
        StringBuilder text = new StringBuilder(PrometheusText.of(registry));
        latencies.forEach((latency, histogram) -> {
            String name = PREFIX + latency.label();
            text.append("# TYPE ").append(name).append(" summary\n");
            for (double quantile : QUANTILES) {
                text.append(name).append("{quantile=\"").append(quantile).append("\"} ");
                text.append(histogram.getValueAtPercentile(quantile * PERCENT)).append('\n');
            }
            text.append(name)
                    .append("_count ")
                    .append(histogram.getTotalCount())
                    .append('\n');
        });
        return text.toString();
    }

    private void count(String name, String labels) {
        registry.counter(PREFIX + name + "{" + labels + "}").inc();
    }
}
