package org.rattanplank.core.claim;

import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ClaimMessage;

/** Action that {@link Claims} requests from the host. Immutable and thread safe. */
public sealed interface ClaimAction {

    /**
     * Sends a message to another entry host of the data centre.
     *
     * @param host the receiver
     * @param message the message
     */
    record Send(String host, ClaimMessage message) implements ClaimAction {
        public Send {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Calls the store.
     *
     * @param callId the call, which its reply carries
     * @param command the command
     */
    record CallStore(long callId, StoreCommand command) implements ClaimAction {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Reports the decision on a request.
     *
     * @param requestId the request
     * @param key its idempotency key
     * @param decision the decision
     */
    record Decide(String requestId, ClaimKey key, ClaimDecision decision) implements ClaimAction {
        public Decide {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(decision, "decision");
        }
    }
}
