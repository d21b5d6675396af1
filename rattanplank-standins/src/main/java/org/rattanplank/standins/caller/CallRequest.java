package org.rattanplank.standins.caller;

import java.time.Duration;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.standins.http.Json;

/**
 * A call that a caller makes. Immutable and thread safe.
 *
 * @param reference the caller's own name for the call, which whole answers repeat
 * @param service the service
 * @param kind what is asked of it
 * @param idempotencyKey the key, or none
 * @param residency the residency label, or none
 * @param prompt the prompt of a model call
 * @param maxTokens how many tokens a model call asks for
 * @param timeout how long the caller lets the system take
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
     * Makes a booking or a quote, which may not be repeated.
     *
     * @param reference the caller's own name for the call
     * @param service the service
     * @param idempotencyKey the key
     * @return the call
     */
    public static CallRequest booking(String reference, String service, String idempotencyKey) {
        return new CallRequest(
                reference, service, CallKind.BOOKING, Option.some(idempotencyKey), Option.none(), "", 0, DEFAULT_TIMEOUT);
    }

    /**
     * Makes a draft whose answer is a stream.
     *
     * @param reference the caller's own name for the call
     * @param service the service
     * @param prompt the prompt
     * @param parts how many tokens are asked for
     * @return the call
     */
    public static CallRequest draft(String reference, String service, String prompt, int parts) {
        return new CallRequest(
                reference, service, CallKind.DRAFT, Option.none(), Option.none(), prompt, parts, DEFAULT_TIMEOUT);
    }

    /**
     * Makes a short query whose answer comes at once.
     *
     * @param reference the caller's own name for the call
     * @param service the service
     * @param prompt the prompt
     * @param parts how many tokens are asked for
     * @return the call
     */
    public static CallRequest query(String reference, String service, String prompt, int parts) {
        return new CallRequest(
                reference, service, CallKind.QUERY, Option.none(), Option.none(), prompt, parts, DEFAULT_TIMEOUT);
    }

    /**
     * Copies this call with another timeout.
     *
     * @param newer how long the caller lets the system take
     * @return the copy
     */
    public CallRequest within(Duration newer) {
        return new CallRequest(reference, service, kind, idempotencyKey, residency, prompt, maxTokens, newer);
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
