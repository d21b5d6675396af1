package org.rattanplank.core.control;

import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;

/** Something that the controller of a region wants done. Immutable and thread safe. */
public sealed interface ControlStep {

    /**
     * Call the platform's store.
     *
     * @param callId the call, which its reply carries
     * @param command what to do
     */
    record CallStore(long callId, StoreCommand command) implements ControlStep {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Give a target an order.
     *
     * @param orderId the order, which its answer carries
     * @param target the target
     * @param fencingNumber the lease's fencing number
     * @param verb what to do
     * @param subject the model with its version, the adapter or the role
     */
    record Order(long orderId, String target, long fencingNumber, String verb, String subject) implements ControlStep {}
}
