package org.rattanplank.gateway.store;

import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.gateway.http.HttpClientTraffic;

/**
 * The platform's store, which holds all state that outlives a process.
 *
 * <p>Revisions are those of {@link StoreRevision}. Each call completes exactly once, on the event loop that made it, at the
 * latest shortly after its time-out.
 */
public interface ClusterStore {
    /**
     * Returns the traffic counters of the calls.
     *
     * @return the counters
     */
    HttpClientTraffic traffic();

    /**
     * Returns the highest era that a response has reported. It rises when the store comes back from an older copy: what was
     * written since is gone, leases too, and identifiers of leases are given out again.
     *
     * @return the era, zero if none was reported
     */
    long era();

    /**
     * Lists items.
     *
     * @param prefix the prefix of their keys
     * @param after the key after which to begin, or empty
     * @param reply receives the page
     */
    void list(String prefix, String after, Consumer<Either<StoreFailure, StorePage>> reply);

    /**
     * Waits for changes.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision after which changes are wanted
     * @param waitMillis how long the store holds the call while there are none
     * @param reply receives the changes
     */
    void watch(String prefix, long afterRevision, long waitMillis, Consumer<Either<StoreFailure, StorePage>> reply);

    /**
     * Grants a lease.
     *
     * @param millis how long it lasts unless renewed
     * @param reply receives its identifier
     */
    void grantLease(long millis, Consumer<Either<StoreFailure, Long>> reply);

    /**
     * Renews a lease.
     *
     * @param lease its identifier
     * @param reply receives its identifier
     */
    void renewLease(long lease, Consumer<Either<StoreFailure, Long>> reply);

    /**
     * Revokes a lease, which removes its keys.
     *
     * @param lease its identifier
     */
    void revokeLease(long lease);

    /**
     * Writes a key.
     *
     * @param key the key
     * @param value its value
     * @param lease the lease that the key is bound to, or zero
     * @param expectedRevision the revision that the key must still have, zero if it must not exist; none for any
     * @param reply receives the new revision
     */
    void put(
            String key,
            byte[] value,
            long lease,
            Option<Long> expectedRevision,
            Consumer<Either<StoreFailure, Long>> reply);
}
