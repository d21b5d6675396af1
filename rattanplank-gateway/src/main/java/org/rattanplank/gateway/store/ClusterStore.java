package org.rattanplank.gateway.store;

import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.gateway.http.CallTraffic;

/**
 * The platform's store: all that outlasts a process.
 *
 * <p>Each call ends once, on the event loop that made it, at the latest some time after its own time limit.
 */
public interface ClusterStore {
    /**
     * What the calls carry.
     *
     * @return the count of bytes
     */
    CallTraffic traffic();

    /**
     * Lists items.
     *
     * @param prefix the start of their keys
     * @param after the key behind which to begin, or empty
     * @param reply takes the page
     */
    void list(String prefix, String after, Consumer<Either<StoreFailure, StorePage>> reply);

    /**
     * Waits for changes.
     *
     * @param prefix the start of the keys
     * @param afterRevision the revision that is known already
     * @param waitMillis how long the store waits if there are none
     * @param reply takes the changes
     */
    void watch(String prefix, long afterRevision, long waitMillis, Consumer<Either<StoreFailure, StorePage>> reply);

    /**
     * Asks for a lease.
     *
     * @param millis how long it lasts without being renewed
     * @param reply takes its identifier
     */
    void grantLease(long millis, Consumer<Either<StoreFailure, Long>> reply);

    /**
     * Renews a lease.
     *
     * @param lease its identifier
     * @param reply takes its identifier
     */
    void keepLease(long lease, Consumer<Either<StoreFailure, Long>> reply);

    /**
     * Ends a lease; its keys go with it.
     *
     * @param lease its identifier
     */
    void endLease(long lease);

    /**
     * Writes a key.
     *
     * @param key the key
     * @param value its value
     * @param lease the lease that it lasts as long as, or zero
     * @param expectedRevision the revision that the key must still have, zero if it must not exist; none for any
     * @param reply takes the revision
     */
    void put(
            String key,
            byte[] value,
            long lease,
            Option<Long> expectedRevision,
            Consumer<Either<StoreFailure, Long>> reply);
}
