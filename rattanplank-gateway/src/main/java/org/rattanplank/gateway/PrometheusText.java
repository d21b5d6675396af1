package org.rattanplank.gateway;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Formats a registry in the Prometheus text format. The name of a metric in the registry includes its labels in braces.
 * Confined to one thread.
 */
public final class PrometheusText {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder text = new StringBuilder();
    private final Set<String> typed = new HashSet<>();

    private PrometheusText() {}

    /**
     * Formats a registry.
     *
     * @param registry the registry
     * @return the text
     */
    public static String of(MetricRegistry registry) {
        PrometheusText writer = new PrometheusText();
        registry.getCounters().forEach(writer::add);
        registry.getGauges().forEach(writer::add);
        registry.getTimers().forEach(writer::add);
        return writer.text.toString();
    }

    private void add(String name, Counter counter) {
        addType(base(name), "counter");
        addLine(name, counter.getCount());
    }

    private void add(String name, Gauge<?> gauge) {
        addType(base(name), "gauge");
        addLine(name, gauge.getValue());
    }

    private void add(String name, Timer timer) {
        String base = base(name) + "_seconds";
        String labels = labels(name);
        Snapshot snapshot = timer.getSnapshot();
        addType(base, "summary");
        Map.of("0.5", snapshot.getMedian(), "0.95", snapshot.get95thPercentile(), "0.99", snapshot.get99thPercentile())
                .forEach((quantile, nanos) ->
                        addLine(base + "{" + labels + ",quantile=\"" + quantile + "\"}", nanos / NANOS_PER_SECOND));
        addLine(base + "_count{" + labels + "}", timer.getCount());
    }

    private void addType(String base, String type) {
        if (typed.add(base)) {
            text.append("# TYPE ").append(base).append(' ').append(type).append('\n');
        }
    }

    private void addLine(String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    private static String base(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? name : name.substring(0, brace);
    }

    private static String labels(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? "" : name.substring(brace + 1, name.length() - 1);
    }
}
