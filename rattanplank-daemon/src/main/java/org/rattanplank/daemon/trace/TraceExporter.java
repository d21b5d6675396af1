package org.rattanplank.daemon.trace;

import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;

/** Destination of trace spans. */
public enum TraceExporter {
    /** Discards spans; the trace context of a caller is still propagated. */
    NONE {
        @Override
        OpenTelemetry open(String host, String url) {
            return OpenTelemetry.noop();
        }
    },
    /** Writes one log line per span. */
    LOG {
        @Override
        OpenTelemetry open(String host, String url) {
            return OpenTelemetrySdk.builder()
                    .setTracerProvider(SdkTracerProvider.builder()
                            .setResource(resource(host))
                            .addSpanProcessor(SimpleSpanProcessor.create(new LogSpanExporter()))
                            .build())
                    .build();
        }
    },
    /** Sends batches of spans to a collector by OTLP over HTTP; spans that exceed the queue are dropped. */
    OTLP {
        @Override
        OpenTelemetry open(String host, String url) {
            OtlpHttpSpanExporter exporter = OtlpHttpSpanExporter.builder()
                    .setEndpoint(url + "/v1/traces")
                    .setTimeout(EXPORT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .build();
            return OpenTelemetrySdk.builder()
                    .setTracerProvider(SdkTracerProvider.builder()
                            .setResource(resource(host))
                            .addSpanProcessor(
                                    BatchSpanProcessor.builder(exporter).build())
                            .build())
                    .build();
        }
    };

    private static final long EXPORT_TIMEOUT_MILLIS = 5_000;

    /**
     * Returns the exporter with a name.
     *
     * @param name the validated name in lower case
     * @return the exporter
     */
    public static TraceExporter of(String name) {
        return valueOf(name.toUpperCase(java.util.Locale.ROOT));
    }

    abstract OpenTelemetry open(String host, String url);

    private static Resource resource(String host) {
        return Resource.create(Attributes.of(
                AttributeKey.stringKey("service.name"), "rattanplankd", AttributeKey.stringKey("host.name"), host));
    }
}
