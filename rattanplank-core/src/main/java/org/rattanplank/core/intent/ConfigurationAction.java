package org.rattanplank.core.intent;

import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ControlMessage;

/** An action that the configuration manager of a host requests. Immutable and thread safe. */
public sealed interface ConfigurationAction {

    /**
     * Calls the platform's store.
     *
     * @param callId the id of the call, which its reply carries
     * @param command the command
     */
    record CallStore(long callId, StoreCommand command) implements ConfigurationAction {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Sends a message to another entry host.
     *
     * @param host the other host
     * @param message the message
     */
    record Send(String host, ControlMessage message) implements ConfigurationAction {
        public Send {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * This configuration is now active at this host.
     *
     * @param configuration the configuration
     */
    record Activated(Configuration configuration) implements ConfigurationAction {
        public Activated {
            Objects.requireNonNull(configuration, "configuration");
        }
    }
}
