package org.rattanplank.gateway;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.HdrHistogram.ConcurrentHistogram;
import org.rattanplank.core.response.Completeness;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.ResponseDefect;

/** The metrics of one gateway process, based on Dropwizard Metrics. Thread safe. */
public final class GatewayMetrics {
    private static final String PREFIX = "rattanplank_gateway_";

    /** Two significant digits distinguish 1.00 s from 1.01 s, at about 10 KB per histogram. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private static final long MAX_LATENCY_MILLIS = 120_000;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};
    private static final double PERCENT = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<Latency, ConcurrentHistogram> latencies = new EnumMap<>(Latency.class);

    /** Creates empty metrics. */
    public GatewayMetrics() {
        for (Latency latency : Latency.values()) {
            latencies.put(latency, new ConcurrentHistogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS));
        }
    }

    /**
     * Records a duration.
     *
     * @param latency the kind of duration
     * @param millis the duration
     */
    public void record(Latency latency, double millis) {
        latencies.get(latency).recordValue(Math.max(0, Math.min(MAX_LATENCY_MILLIS, Math.round(millis))));
    }

    /**
     * Counts a send to a target or another region.
     *
     * @param attempt the number of the attempt, 1 for the first
     */
    public void sent(int attempt) {
        count("sends_total", "attempt=\"" + (attempt == 1 ? "first" : "repeat") + "\"");
    }

    /**
     * Counts a failed attempt.
     *
     * @param failure the kind of failure
     */
    public void attemptFailed(AttemptFailure failure) {
        count("attempts_failed_total", "failure=\"" + failure.name().toLowerCase(Locale.ROOT) + "\"");
    }

    /**
     * Counts a request that ended without a complete response of a target.
     *
     * @param outcome how it ended
     */
    public void ended(String outcome) {
        count("requests_total", "outcome=\"" + outcome + "\"");
    }

    /** Counts a local copy of the store that differed from another host's at the same revision. */
    public void copyDiffers() {
        registry.counter(PREFIX + "store_copies_different_total").inc();
    }

    /** Counts a stream that was sent with a backup. */
    public void backedUp() {
        registry.counter(PREFIX + "streams_backed_up_total").inc();
    }

    /** Counts a stream that continued at its backup. */
    public void failedOver() {
        registry.counter(PREFIX + "streams_failed_over_total").inc();
    }

    /**
     * Counts a response that ended with its connection, as it has neither a length nor chunks.
     *
     * @param completeness whether it is complete
     */
    public void closeDelimited(Completeness completeness) {
        count("close_delimited_responses_total", "completeness=\"" + completeness.label() + "\"");
    }

    /**
     * Counts bytes of a target that are no response to the request in progress.
     *
     * @param defect why they are none
     */
    public void responseUnusable(ResponseDefect defect) {
        count("unusable_responses_total", "defect=\"" + defect.label() + "\"");
    }

    /** Counts a request that was answered by a target. */
    public void answered() {
        count("requests_total", "outcome=\"answered\"");
    }

    /** Counts an unreadable item of the store. */
    public void unreadableItem() {
        registry.counter(PREFIX + "unreadable_items_total").inc();
    }

    /**
     * Registers a gauge.
     *
     * @param name its name
     * @param value returns its current value
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(PREFIX + name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Returns all metrics as text.
     *
     * @return the metrics in the Prometheus text format
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
