package org.rattanplank.core.store;

import io.vavr.control.Option;

/** The end of one call to the platform's store. Immutable and thread safe. */
public sealed interface StoreReply {

    /**
     * What a read found.
     *
     * @param entries the entries, none if there are none
     * @param revision the store's revision at the time of the read
     */
    record Found(java.util.List<StoreEntry> entries, long revision) implements StoreReply {
        public Found {
            entries = java.util.List.copyOf(entries);
        }

        /**
         * The only entry of a read of one key.
         *
         * @return the entry, or none
         */
        public Option<StoreEntry> entry() {
            return entries.isEmpty() ? Option.none() : Option.some(entries.get(0));
        }
    }

    /**
     * The write took effect.
     *
     * @param revision the store's revision after it
     */
    record Written(long revision) implements StoreReply {}

    /**
     * The write did not take effect, because the key was not as expected.
     *
     * @param current the key as it is
     */
    record Conflicted(Option<StoreEntry> current) implements StoreReply {}

    /**
     * The lease is there for a whole term, counted from when the call was made.
     *
     * @param leaseId the lease
     * @param ttlMillis the term, zero if the lease has lapsed
     */
    record Leased(long leaseId, long ttlMillis) implements StoreReply {}

    /**
     * The call may or may not have taken effect: it was sent, and no answer came.
     *
     * @param reason a short sentence
     */
    record Unsure(String reason) implements StoreReply {}

    /**
     * The call surely had no effect.
     *
     * @param reason a short sentence
     */
    record Unavailable(String reason) implements StoreReply {}
}
