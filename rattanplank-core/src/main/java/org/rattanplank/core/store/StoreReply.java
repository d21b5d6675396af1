package org.rattanplank.core.store;

import io.vavr.control.Option;

/** The result of one call to the platform's store. Immutable and thread safe. */
public sealed interface StoreReply {

    /**
     * The result of a read.
     *
     * @param entries the entries, empty if there are none
     * @param revision the store revision at the time of the read
     */
    record Found(java.util.List<StoreEntry> entries, long revision) implements StoreReply {
        public Found {
            entries = java.util.List.copyOf(entries);
        }

        /**
         * Returns the entry of a read of one key.
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
     * @param revision the store revision after the write
     */
    record Written(long revision) implements StoreReply {}

    /**
     * The write did not take effect because the key did not have the expected revision.
     *
     * @param current the current entry of the key, or none
     */
    record Conflicted(Option<StoreEntry> current) implements StoreReply {}

    /**
     * The lease is valid for a full term, counted from the time of the call.
     *
     * @param leaseId the lease
     * @param ttlMillis the term, zero if the lease has expired
     */
    record Leased(long leaseId, long ttlMillis) implements StoreReply {}

    /**
     * The call may or may not have taken effect: it was sent, and no reply was received.
     *
     * @param reason a short sentence
     */
    record Unsure(String reason) implements StoreReply {}

    /**
     * The call definitely had no effect.
     *
     * @param reason a short sentence
     */
    record Unavailable(String reason) implements StoreReply {}
}
