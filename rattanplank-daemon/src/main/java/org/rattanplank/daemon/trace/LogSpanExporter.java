package org.rattanplank.daemon.trace;

import java.util.Collection;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.tinylog.Logger;

/** Writes spans to the log. Stateless and thread safe. */
final class LogSpanExporter implements SpanExporter {
    private static final long NANOS_PER_MICRO = 1_000;

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            Logger.info(
                    "trace: name={} trace={} span={} parent={} micros={} {}",
                    span.getName(),
                    span.getTraceId(),
                    span.getSpanId(),
                    span.getParentSpanId(),
                    (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO,
                    span.getAttributes().asMap());
        }
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
