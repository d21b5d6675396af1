package org.rattanplank.core.intent;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.intent.IntentFault;

/** State of an apply operation: the next store call, or the result. Immutable and thread safe. */
public sealed interface ApplyState {

    /**
     * Call the platform's store and pass the reply to {@link ApplyOperation#storeReplied}.
     *
     * @param command the command
     * @param delayMillis how long to wait before the call
     */
    record CallStore(StoreCommand command, long delayMillis) implements ApplyState {
        public CallStore {
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * The change is in the store.
     *
     * @param generation the generation that contains it
     * @param digest the digest of the newest document that was observed to contain it
     * @param changed whether there was anything to change
     */
    record Done(long generation, String digest, boolean changed) implements ApplyState {}

    /**
     * Nothing was applied: the folder, merged with the newest document, has faults.
     *
     * @param faults the faults
     */
    record Rejected(List<IntentFault> faults) implements ApplyState {
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /**
     * Nothing was applied: another operator changed the same files.
     *
     * @param generation the newest generation
     * @param conflicts the files
     */
    record Conflicting(long generation, List<ConfigurationConflict> conflicts) implements ApplyState {
        public Conflicting {
            conflicts = List.copyOf(conflicts);
        }
    }

    /**
     * The operation was abandoned, for example because store calls failed too often.
     *
     * @param definitelyNotApplied whether the change definitely had no effect; otherwise apply the same folder again
     * @param reason a short sentence
     */
    record Failed(boolean definitelyNotApplied, String reason) implements ApplyState {}
}
