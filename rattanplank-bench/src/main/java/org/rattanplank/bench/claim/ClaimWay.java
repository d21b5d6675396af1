package org.rattanplank.bench.claim;

import java.util.function.Consumer;

import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;

/** One way to keep a call from running twice. */
interface ClaimWay {

    /**
     * Its name in the output.
     *
     * @return the name
     */
    String label();

    /**
     * Asks what a request may do.
     *
     * @param host the entry host that was asked
     * @param key the key
     * @param requestId the request
     * @param decided takes the decision, unless the host is killed first
     */
    void open(String host, ClaimKey key, String requestId, Consumer<ClaimDecision> decided);

    /**
     * Tells how a call that was told to run has ended.
     *
     * @param host the entry host that ran it
     * @param key the key
     * @param requestId the request
     * @param result how it ended
     */
    void settle(String host, ClaimKey key, String requestId, ClaimResult result);

    /**
     * Ends a host's process.
     *
     * @param host the host
     */
    void kill(String host);
}
