package org.rattanplank.gateway.pass;

import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.log.RequestLog;
import org.rattanplank.gateway.target.AttemptListener;
import org.rattanplank.gateway.target.ResponseDefect;

/**
 * Logs what a target says in its answers beside the answers themselves. Immutable; confined to the event loop.
 *
 * @param state the state that all requests share
 * @param target the target
 * @param service the service of the target
 * @param requestLog the log of the request whose answer it is
 */
record TargetNotices(GatewayState state, GatewayTarget target, ServiceRule service, RequestLog requestLog) {
    TargetNotices {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(requestLog, "requestLog");
    }

    /** An attempt whose target's notices are logged. */
    interface Source extends AttemptListener {
        /** Returns the notices of the attempt's target. */
        TargetNotices notices();

        @Override
        default void rateLimitChanged(Option<Double> perSecond) {
            notices().rateLimitChanged(perSecond);
        }

        @Override
        default void rateLimitInvalid(String text) {
            notices().rateLimitInvalid(text);
        }

        @Override
        default void pauseRequested(long millis) {
            notices().pauseRequested(millis);
        }

        @Override
        default void responseUnusable(ResponseDefect defect, String detail, String previousRequestId) {
            notices().responseUnusable(defect, detail, previousRequestId);
        }

        @Override
        default void targetLeaving() {
            notices().targetLeaving();
        }
    }

    private LogLine line(LogEvent event) {
        return LogLine.of(event).with("target", target.incarnationText());
    }

    private void rateLimitChanged(Option<Double> perSecond) {
        state.log()
                .writeImportant(line(LogEvent.TARGET_LIMIT)
                        .with(
                                "requestsPerSecond",
                                perSecond.map(Object.class::cast).getOrNull()));
    }

    private void rateLimitInvalid(String text) {
        state.log().writeOrdinary(line(LogEvent.TARGET_LIMIT_INVALID).with("text", text));
    }

    private void pauseRequested(long millis) {
        state.log().writeImportant(line(LogEvent.TARGET_PAUSED).with("millis", millis));
    }

    private void responseUnusable(ResponseDefect defect, String detail, String previousRequestId) {
        state.metrics().responseUnusable(defect);
        requestLog.addNotable(line(LogEvent.RESPONSE_UNUSABLE)
                .with("defect", defect.label())
                .with("detail", detail)
                .with("previousRequestId", previousRequestId));
    }

    private void targetLeaving() {
        state.log()
                .writeImportant(line(LogEvent.TARGET_CHANGED)
                        .with("service", service.name())
                        .with("leaving", true)
                        .with("source", "ANSWER"));
    }
}
