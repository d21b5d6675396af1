package org.rattanplank.standins.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Option;

/**
 * A key-value store with revisions, leases and a bounded history of changes.
 *
 * <p>Invariant: each write has its own revision, and the listener receives the writes in the order of their revisions. Not
 * thread safe: confined to the platform's thread.
 */
final class KeyValueStore {
    private static final int MAX_HISTORY_CHANGES = 20_000;

    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<StoredValue> history = new ArrayDeque<>();
    private final Consumer<StoredValue> listener;
    private long revision = 1;
    private long compactedRevision;
    private long nextLeaseId = 1;

    private KeyValueStore(Consumer<StoredValue> listener) {
        this.listener = listener;
    }

    static KeyValueStore of(Consumer<StoredValue> listener) {
        return new KeyValueStore(listener);
    }

    /** Returns a copy with all values, leases and the history. */
    KeyValueStore copy() {
        KeyValueStore copy = new KeyValueStore(listener);
        copy.values.putAll(values);
        copy.leases.putAll(leases);
        copy.history.addAll(history);
        copy.revision = revision;
        copy.compactedRevision = compactedRevision;
        copy.nextLeaseId = nextLeaseId;
        return copy;
    }

    long revision() {
        return revision;
    }

    /** Returns the newest revision whose change has been dropped from the history. */
    long compactedRevision() {
        return compactedRevision;
    }

    StoredValue get(String key) {
        return Option.of(values.get(key)).getOrElse(() -> StoredValue.absent(key));
    }

    List<StoredValue> range(KeyRange range) {
        return values.values().stream()
                .filter(value -> range.contains(value.key()))
                .toList();
    }

    List<StoredValue> changesSince(long fromRevision) {
        return history.stream()
                .filter(change -> change.modRevision() >= fromRevision)
                .toList();
    }

    /** Writes a key; rejects an unknown lease, as a holder must not write with a lease that has expired. */
    boolean put(String key, String value, long leaseId) {
        if (leaseId != 0 && !leases.containsKey(leaseId)) {
            return false;
        }
        revision++;
        StoredValue written = get(key).withValue(value, revision, leaseId);
        values.put(key, written);
        recordChange(written);
        return true;
    }

    int delete(KeyRange range) {
        Collection<StoredValue> deleted = range(range);
        deleted.forEach(value -> delete(value.key()));
        return deleted.size();
    }

    Lease grantLease(long requestedId, long ttlMillis, long nowMillis) {
        long id = requestedId == 0 ? nextLeaseId++ : requestedId;
        Lease lease = new Lease(id, ttlMillis, nowMillis + ttlMillis);
        leases.put(id, lease);
        return lease;
    }

    Option<Lease> renewLease(long id, long nowMillis) {
        expireLeases(nowMillis);
        Option<Lease> renewed = Option.of(leases.get(id)).map(lease -> lease.renewed(nowMillis));
        renewed.forEach(lease -> leases.put(id, lease));
        return renewed;
    }

    boolean revokeLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        values.values().stream()
                .filter(value -> value.leaseId() == id)
                .map(StoredValue::key)
                .toList()
                .forEach(this::delete);
        return true;
    }

    void expireLeases(long nowMillis) {
        leases.values().stream()
                .filter(lease -> lease.hasExpired(nowMillis))
                .map(Lease::id)
                .toList()
                .forEach(this::revokeLease);
    }

    private void delete(String key) {
        revision++;
        values.remove(key);
        recordChange(StoredValue.deleted(key, revision));
    }

    private void recordChange(StoredValue change) {
        history.add(change);
        if (history.size() > MAX_HISTORY_CHANGES) {
            compactedRevision = history.poll().modRevision();
        }
        listener.accept(change);
    }
}
