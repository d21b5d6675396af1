package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;

/** Creates the responses to callers for outcomes and rejections. Stateless and thread safe. */
final class CallerResponses {
    static final String JSON_TYPE = "application/json";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String NOT_RUN = "not run";
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private CallerResponses() {}

    static CallerResponse of(String requestId, Outcome outcome, boolean deadlinePassed) {
        if (outcome instanceof Outcome.Answered answered) {
            return new CallerResponse(
                    answered.answer().status(),
                    answered.answer().contentType(),
                    headers(requestId, outcome.label(), answered.path()),
                    answered.answer().body(),
                    false);
        } else if (outcome instanceof Outcome.NotRun notRun) {
            int status = notRun.failure().step() == Step.ACCEPT ? Rejection.BAD_REQUEST : Rejection.UNAVAILABLE;
            return error(requestId, status, outcome.label(), notRun.failure(), notRun.retryAfterMillis());
        }
        Failure failure = ((Outcome.Unknown) outcome).failure();
        return error(requestId, deadlinePassed ? GATEWAY_TIMEOUT : BAD_GATEWAY, outcome.label(), failure, 0);
    }

    static CallerResponse of(String requestId, Rejection rejection) {
        return error(requestId, rejection.status(), NOT_RUN, rejection.failure(), rejection.retryAfterMillis());
    }

    static CallerResponse streamHeaders(String requestId, List<String> path) {
        return new CallerResponse(OK, EVENT_STREAM, headers(requestId, "", path), new byte[0], true);
    }

    static CallerResponse json(int status, Object value) {
        byte[] body = Try.of(() -> JSON.writeValueAsBytes(value)).get();
        return new CallerResponse(status, JSON_TYPE, Map.of(), body, false);
    }

    private static CallerResponse error(
            String requestId, int status, String outcome, Failure failure, long retryAfterMillis) {
        ObjectNode body = JSON.createObjectNode();
        body.putObject("error")
                .put("outcome", outcome)
                .put("step", failure.step().label())
                .put("peer", failure.peer())
                .put("reason", failure.reason())
                .put("requestId", requestId)
                .put("retryAfterMillis", retryAfterMillis);
        Map<String, String> headers = headers(requestId, outcome, List.of());
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.put("Retry-After", String.valueOf(seconds));
        }
        return new CallerResponse(status, JSON_TYPE, headers, body.toString().getBytes(StandardCharsets.UTF_8), false);
    }

    private static Map<String, String> headers(String requestId, String outcome, List<String> path) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Rattanplank-Request-Id", requestId);
        headers.put("Rattanplank-Outcome", outcome);
        headers.put("Rattanplank-Path", String.join(",", path));
        headers.values().removeIf(String::isEmpty);
        return headers;
    }
}
