package org.rattanplank.core.store;

/** One call to the platform's store. Immutable and thread safe. */
public sealed interface StoreCommand {

    /**
     * Reads one key.
     *
     * @param key the key
     */
    record Get(String key) implements StoreCommand {}

    /**
     * Reads all keys that begin with a prefix.
     *
     * @param prefix the prefix
     */
    record List(String prefix) implements StoreCommand {}

    /**
     * Writes a key if it is still as expected.
     *
     * @param key the key
     * @param value the new value
     * @param expectedModRevision the revision of the value that is replaced, zero if the key must not exist
     * @param leaseId the lease with which the key ends, zero for none
     */
    record Put(String key, String value, long expectedModRevision, long leaseId) implements StoreCommand {}

    /**
     * Deletes a key if it is still as expected.
     *
     * @param key the key
     * @param expectedModRevision the revision of the value that is deleted
     */
    record Delete(String key, long expectedModRevision) implements StoreCommand {}

    /**
     * Asks for a new lease.
     *
     * @param ttlMillis how long it lasts without being kept
     */
    record GrantLease(long ttlMillis) implements StoreCommand {}

    /**
     * Keeps a lease for another whole term.
     *
     * @param leaseId the lease
     */
    record KeepLease(long leaseId) implements StoreCommand {}

    /**
     * Watches all keys that begin with a prefix; changes come as {@code StoreChanged} events.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision whose changes are wanted
     */
    record Watch(String prefix, long fromRevision) implements StoreCommand {}
}
