package org.rattanplank.standins.caller;

import java.time.Duration;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.standins.http.Json;

/**
 * A call to be sent by a caller. Immutable and thread safe.
 *
 * @param reference the caller's own name for the call, which complete responses echo
 * @param service the service
 * @param kind the kind of call
 * @param idempotencyKey the idempotency key, or none
 * @param residency the residency label, or none
 * @param prompt the prompt of a model call
 * @param maxTokens the number of tokens that a model call requests
 * @param timeout the time within which the system has to respond
 */
public record CallRequest(
        String reference,
        String service,
        CallKind kind,
        Option<String> idempotencyKey,
        Option<String> residency,
        String prompt,
        int maxTokens,
        Duration timeout) {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    public CallRequest {
        Objects.requireNonNull(reference, "reference");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns a call for a booking or a quote, which must not be executed more than once.
     *
     * @param reference the caller's own name for the call
     * @param service the service
     * @param idempotencyKey the idempotency key
     * @return the call
     */
    public static CallRequest booking(String reference, String service, String idempotencyKey) {
        return new CallRequest(
                reference,
                service,
                CallKind.BOOKING,
                Option.some(idempotencyKey),
                Option.none(),
                "",
                0,
                DEFAULT_TIMEOUT);
    }

    /**
     * Returns a call for a draft, whose response is a stream.
     *
     * @param reference the caller's own name for the call
     * @param service the service
     * @param prompt the prompt
     * @param maxTokens the number of requested tokens
     * @return the call
     */
    public static CallRequest draft(String reference, String service, String prompt, int maxTokens) {
        return new CallRequest(
                reference, service, CallKind.DRAFT, Option.none(), Option.none(), prompt, maxTokens, DEFAULT_TIMEOUT);
    }

    /**
     * Returns a call for a short query, whose response comes in one piece.
     *
     * @param reference the caller's own name for the call
     * @param service the service
     * @param prompt the prompt
     * @param maxTokens the number of requested tokens
     * @return the call
     */
    public static CallRequest query(String reference, String service, String prompt, int maxTokens) {
        return new CallRequest(
                reference, service, CallKind.QUERY, Option.none(), Option.none(), prompt, maxTokens, DEFAULT_TIMEOUT);
    }

    /**
     * Returns a copy of this call with another timeout.
     *
     * @param newTimeout the time within which the system has to respond
     * @return the copy
     */
    public CallRequest withTimeout(Duration newTimeout) {
        return new CallRequest(reference, service, kind, idempotencyKey, residency, prompt, maxTokens, newTimeout);
    }

    String path() {
        return kind.path(service);
    }

    String body() {
        ObjectNode body = Json.object();
        if (!kind.isModelCall()) {
            return Json.write(body.put("reference", reference).put("part", "seal kit 40"));
        }
        body.put("model", service).put("user", reference).put("max_tokens", maxTokens);
        body.put("stream", kind == CallKind.DRAFT);
        ObjectNode message = Json.object().put("role", "user").put("content", prompt);
        body.set("messages", Json.array().add(message));
        return Json.write(body);
    }
}
