package org.rattanplank.daemon.target;

import java.util.HashMap;
import java.util.Map;

import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.request.Request;
import org.rattanplank.daemon.call.Envelope;
import org.rattanplank.daemon.http.ExchangeRequest;

/**
 * The HTTP call of one attempt at a target. Immutable and thread safe.
 *
 * @param target the target
 * @param sentId the request identifier that the target has to echo
 * @param model whether the target is a model engine
 * @param resumeAtEvent the number of the first stream event to send, zero for a new execution
 * @param exchangeRequest the HTTP exchange to start
 */
record TargetCall(
        ListedHost target, String sentId, boolean model, long resumeAtEvent, ExchangeRequest exchangeRequest) {
    static final String REQUEST_ID = "X-Request-Id";
    private static final String STREAMS = "/v1/streams/";
    private static final String CHAT = "/v1/chat/completions";

    static TargetCall of(
            ListedHost target,
            Request request,
            Envelope envelope,
            String sentId,
            long resumeAtEvent,
            String traceParent) {
        Map<String, String> headers = new HashMap<>();
        headers.put(REQUEST_ID, sentId);
        if (!traceParent.isEmpty()) {
            headers.put("traceparent", traceParent);
        }
        boolean model = envelope.path().equals(CHAT);
        if (resumeAtEvent > 0) {
            String path = streamPath(sentId) + "?from=" + resumeAtEvent;
            return new TargetCall(
                    target, sentId, model, resumeAtEvent, exchangeRequest(target, "GET", path, headers, new byte[0]));
        }
        if (!envelope.contentType().isEmpty()) {
            headers.put("Content-Type", envelope.contentType());
        }
        request.idempotencyKey().forEach(key -> headers.put("Idempotency-Key", key));
        ExchangeRequest exchange =
                exchangeRequest(target, envelope.method(), envelope.path(), headers, envelope.body());
        return new TargetCall(target, sentId, model, 0, exchange);
    }

    static String streamPath(String sentId) {
        return STREAMS + sentId;
    }

    boolean isResumed() {
        return resumeAtEvent > 0;
    }

    private static ExchangeRequest exchangeRequest(
            ListedHost target, String method, String path, Map<String, String> headers, byte[] body) {
        return new ExchangeRequest(target.address(), target.port(), method, path, headers, body);
    }
}
