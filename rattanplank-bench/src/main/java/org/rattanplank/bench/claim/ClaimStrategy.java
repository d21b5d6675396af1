package org.rattanplank.bench.claim;

import java.util.function.Consumer;

import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;

/** A strategy that prevents a call from running twice. */
interface ClaimStrategy {

    /**
     * Returns the name of the strategy in the output.
     *
     * @return the name
     */
    String label();

    /**
     * Requests the decision on whether a request may run.
     *
     * @param host the entry host that received the request
     * @param key the claim key
     * @param requestId the request identifier
     * @param decided receives the decision unless the host is killed first
     */
    void open(String host, ClaimKey key, String requestId, Consumer<ClaimDecision> decided);

    /**
     * Records the result of a call that was allowed to run.
     *
     * @param host the entry host that ran it
     * @param key the claim key
     * @param requestId the request identifier
     * @param result the result of the call
     */
    void settle(String host, ClaimKey key, String requestId, ClaimResult result);

    /**
     * Kills the process of a host.
     *
     * @param host the host
     */
    void kill(String host);
}
