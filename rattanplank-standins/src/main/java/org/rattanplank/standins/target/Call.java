package org.rattanplank.standins.target;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * A call to a target with the fault that is injected into it. Immutable; its exchange is confined to the targets' thread.
 *
 * @param exchange the HTTP exchange of the call
 * @param body the call's body
 * @param requestId the request's identifier
 * @param idempotencyKey the idempotency key, empty for none
 * @param reference the caller's own name for the call, which the response echoes; empty for none
 * @param fault the fault to inject
 */
record Call(
        Exchange exchange,
        JsonNode body,
        String requestId,
        String idempotencyKey,
        String reference,
        PlannedFault fault) {

    static Call of(Exchange exchange, PlannedFault fault) {
        JsonNode body = exchange.jsonBody();
        String reference = body.path("reference").asText(body.path("user").asText());
        return new Call(
                exchange,
                body,
                exchange.header("X-Request-Id").getOrElse(""),
                exchange.header("Idempotency-Key").getOrElse(""),
                reference,
                fault);
    }

    Map<String, String> headers() {
        return Map.of("X-Request-Id", requestId);
    }

    void respond(ObjectNode response) {
        fault.kind().respond(this, response);
    }

    void reject(int status, String reason) {
        Map<String, String> headers = Map.of("X-Request-Id", requestId, "X-Not-Run", "true", "Retry-After", "1");
        exchange.respond(status, headers, Json.object().put("error", reason));
    }
}
