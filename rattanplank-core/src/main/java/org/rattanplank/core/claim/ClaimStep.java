package org.rattanplank.core.claim;

import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ClaimMessage;

/** Something that the claims of a host want done. Immutable and thread safe. */
public sealed interface ClaimStep {

    /**
     * Send a message to another entry host of the data centre.
     *
     * @param host the other host
     * @param message the message
     */
    record Send(String host, ClaimMessage message) implements ClaimStep {
        public Send {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Call the platform's store.
     *
     * @param callId the call, which its reply carries
     * @param command what to do
     */
    record CallStore(long callId, StoreCommand command) implements ClaimStep {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Tell a request what it may do.
     *
     * @param requestId the request
     * @param key its key
     * @param decision what it may do
     */
    record Decide(String requestId, ClaimKey key, ClaimDecision decision) implements ClaimStep {
        public Decide {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(decision, "decision");
        }
    }
}
