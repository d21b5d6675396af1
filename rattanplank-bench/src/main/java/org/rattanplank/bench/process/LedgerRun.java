package org.rattanplank.bench.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One execution of a request at a target, as recorded in the target's ledger. Immutable and thread safe.
 *
 * @param target the target
 * @param region the region of the target
 * @param requestId the request ID, with the attempt number as suffix
 * @param idempotencyKey the idempotency key, empty for none
 * @param reference the caller's reference of the call
 * @param state running, whole or cancelled
 */
public record LedgerRun(
        String target, String region, String requestId, String idempotencyKey, String reference, String state) {

    /**
     * Returns the request ID as reported to the caller, without the suffix that each attempt adds.
     *
     * @return the request ID without the attempt number
     */
    public String callerRequestId() {
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
