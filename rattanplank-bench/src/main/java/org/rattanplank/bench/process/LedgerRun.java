package org.rattanplank.bench.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One run of a request at a target, as the target's ledger holds it. Immutable and thread safe.
 *
 * @param target the target
 * @param region the region in which it stands
 * @param requestId the request's identifier, with the number of the attempt
 * @param idempotencyKey the key, empty for none
 * @param reference the caller's own name for the call
 * @param state running, whole or cancelled
 */
public record LedgerRun(
        String target, String region, String requestId, String idempotencyKey, String reference, String state) {

    /**
     * The identifier that the caller was told, to which each attempt adds its own number.
     *
     * @return the identifier without the attempt's number
     */
    public String toldRequestId() {
        return requestId.replaceFirst("\\.\\d+$", "");
    }

    static LedgerRun of(JsonNode run) {
        return new LedgerRun(
                run.path("target").asText(),
                run.path("region").asText(),
                run.path("requestId").asText(),
                run.path("idempotencyKey").asText(),
                run.path("reference").asText(),
                run.path("state").asText());
    }
}
