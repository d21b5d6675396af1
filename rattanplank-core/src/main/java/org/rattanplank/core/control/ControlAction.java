package org.rattanplank.core.control;

import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;

/** Action that the controller of a region requests from the host. Immutable and thread safe. */
public sealed interface ControlAction {

    /**
     * Calls the store.
     *
     * @param callId the call, which its reply carries
     * @param command the command
     */
    record CallStore(long callId, StoreCommand command) implements ControlAction {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Sends an order to a target.
     *
     * @param orderId the order, which its answer carries
     * @param target the target
     * @param fencingNumber the fencing number of the lease
     * @param verb the operation
     * @param subject the model with its version, the adapter or the role
     */
    record Order(long orderId, String target, long fencingNumber, String verb, String subject)
            implements ControlAction {}
}
