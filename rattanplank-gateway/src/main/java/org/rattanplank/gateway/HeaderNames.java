package org.rattanplank.gateway;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The names of the headers shared with callers and targets. Immutable and thread safe.
 *
 * @param requestId the identifier of a request, echoed in its response
 * @param timeoutMillis the time that the caller still waits, in milliseconds
 * @param lastEventId the last event of a stream that the caller has
 * @param expectedTarget the identifier of the only target that may run the request
 * @param notExecuted in a response: the target did not run the request
 * @param rateLimit in a response: the requests a second that the target takes from all hosts together
 * @param leaving in a response: 1 if the target leaves and accepts no more requests
 * @param transferSource the address of the target that has cached prompt parts which the receiving target lacks
 * @param backup the address of the target that receives the KV cache of a stream as it grows
 * @param continuedFrom the address of the receiving target and the identifier of the request whose backup it holds,
 *     separated by a slash
 * @param urgency the urgency of the request, 0 is the most urgent
 * @param tokens the number of prompt tokens and the maximum number of tokens to generate, separated by a comma
 * @param promptParts the parts of the prompt as ID:TOKENS, separated by commas
 * @param outputTokensHint the caller's estimate of the number of generated tokens
 * @param key the key of the caller's client account; it is never forwarded
 * @param account the name of the client account of a request, for the target
 * @param reserved headers that only this system may set; they are removed from callers' requests
 */
public record HeaderNames(
        String requestId,
        String timeoutMillis,
        String lastEventId,
        String expectedTarget,
        String notExecuted,
        String rateLimit,
        String leaving,
        String transferSource,
        String backup,
        String continuedFrom,
        String urgency,
        String tokens,
        String promptParts,
        String outputTokensHint,
        String key,
        String account,
        Set<String> reserved) {
    public HeaderNames {
        Objects.requireNonNull(requestId, "requestId");
        Set<String> withAccount = new HashSet<>(reserved);
        withAccount.add(key);
        withAccount.add(account);
        reserved = Set.copyOf(withAccount);
    }
}
