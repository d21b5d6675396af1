package org.rattanplank.core.intent;

import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ControlMessage;

/** Something that the configuration of a host wants done. Immutable and thread safe. */
public sealed interface ConfigurationStep {

    /**
     * Call the platform's store.
     *
     * @param callId the call, which its reply carries
     * @param command what to do
     */
    record CallStore(long callId, StoreCommand command) implements ConfigurationStep {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Send a message to another entry host.
     *
     * @param host the other host
     * @param message the message
     */
    record Send(String host, ControlMessage message) implements ConfigurationStep {
        public Send {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * This configuration is now in force at this host.
     *
     * @param configuration the configuration
     */
    record InForce(Configuration configuration) implements ConfigurationStep {
        public InForce {
            Objects.requireNonNull(configuration, "configuration");
        }
    }
}
