package org.rattanplank.gateway;

import java.util.Objects;
import java.util.Set;

/**
 * The names of the headers by which callers, targets and this host understand each other. Immutable and thread safe.
 *
 * @param requestId a request's identifier, echoed in its answer
 * @param timeoutMillis how long the caller still waits, in milliseconds
 * @param lastEventId the last event of a stream that the caller has
 * @param expectedTarget the identifier of the target that alone may run the request
 * @param refused in an answer: the target did not run the request
 * @param copyFrom the address of the target that keeps parts of the prompt which the one that is asked lacks
 * @param urgency how urgent the request is, 0 first
 * @param tokens the prompt's tokens and the most tokens to generate, separated by a comma
 * @param promptParts the parts of the prompt as ID:TOKENS, separated by commas
 * @param outputHint the caller's estimate of the tokens to be generated
 * @param reserved names that only this system may set; they are taken out of callers' requests
 */
public record HeaderNames(
        String requestId,
        String timeoutMillis,
        String lastEventId,
        String expectedTarget,
        String refused,
        String copyFrom,
        String urgency,
        String tokens,
        String promptParts,
        String outputHint,
        Set<String> reserved) {
    public HeaderNames {
        Objects.requireNonNull(requestId, "requestId");
        reserved = Set.copyOf(reserved);
    }
}
