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
     * Writes a key if it still has the expected revision.
     *
     * @param key the key
     * @param value the new value
     * @param expectedModRevision the revision of the replaced value, zero if the key must not exist
     * @param leaseId the lease that the key is attached to, zero for none
     */
    record Put(String key, String value, long expectedModRevision, long leaseId) implements StoreCommand {}

    /**
     * Deletes a key if it still has the expected revision.
     *
     * @param key the key
     * @param expectedModRevision the revision of the deleted value
     */
    record Delete(String key, long expectedModRevision) implements StoreCommand {}

    /**
     * Requests a new lease.
     *
     * @param ttlMillis how long the lease lasts without renewal
     */
    record GrantLease(long ttlMillis) implements StoreCommand {}

    /**
     * Renews a lease for another full term.
     *
     * @param leaseId the lease
     */
    record KeepLease(long leaseId) implements StoreCommand {}

    /**
     * Watches all keys that begin with a prefix; changes are delivered as {@code StoreChanged} events.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to deliver
     */
    record Watch(String prefix, long fromRevision) implements StoreCommand {}
}
