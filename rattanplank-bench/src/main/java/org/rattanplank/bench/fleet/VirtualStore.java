package org.rattanplank.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/** Simulates the platform's store in virtual time, with leases. Confined to one thread. */
public final class VirtualStore {
    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    private final Map<String, Long> leaseIdByKey = new TreeMap<>();
    private final Map<Long, Long> leaseExpiryMillis = new TreeMap<>();
    private final Map<Long, Long> leaseTtlMillis = new TreeMap<>();
    private long revision = 1;
    private long nextLeaseId = 1;

    /**
     * Executes one call.
     *
     * @param command the command
     * @param nowMillis the virtual time
     * @return the reply
     */
    public StoreReply call(StoreCommand command, long nowMillis) {
        expire(nowMillis);
        if (command instanceof StoreCommand.Get get) {
            return new StoreReply.Found(entry(get.key()).toJavaList(), revision);
        }
        if (command instanceof StoreCommand.List list) {
            List<StoreEntry> found = entries.values().stream()
                    .filter(entry -> entry.key().startsWith(list.prefix()))
                    .toList();
            return new StoreReply.Found(found, revision);
        }
        if (command instanceof StoreCommand.Put put) {
            return put(put);
        }
        if (command instanceof StoreCommand.Delete delete) {
            return delete(delete);
        }
        if (command instanceof StoreCommand.GrantLease grant) {
            leaseTtlMillis.put(nextLeaseId, grant.ttlMillis());
            leaseExpiryMillis.put(nextLeaseId, nowMillis + grant.ttlMillis());
            return new StoreReply.Leased(nextLeaseId++, grant.ttlMillis());
        }
        if (command instanceof StoreCommand.KeepLease keep) {
            return renewLease(keep.leaseId(), nowMillis);
        }
        return new StoreReply.Found(List.of(), revision);
    }

    /**
     * Returns the entry of a key.
     *
     * @param key the key
     * @return the entry, or none if the key is absent
     */
    public Option<StoreEntry> entry(String key) {
        return Option.of(entries.get(key));
    }

    /**
     * Writes a key unconditionally and without a lease.
     *
     * @param key the key
     * @param value the value
     * @return the entry
     */
    public StoreEntry write(String key, String value) {
        StoreEntry entry = new StoreEntry(key, value, ++revision);
        entries.put(key, entry);
        leaseIdByKey.put(key, 0L);
        return entry;
    }

    /**
     * Returns the newest revision.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    private StoreReply put(StoreCommand.Put put) {
        boolean leaseExpired = put.leaseId() != 0 && !leaseExpiryMillis.containsKey(put.leaseId());
        if (leaseExpired || modRevision(put.key()) != put.expectedModRevision()) {
            return new StoreReply.Conflicted(entry(put.key()));
        }
        write(put.key(), put.value());
        leaseIdByKey.put(put.key(), put.leaseId());
        return new StoreReply.Written(revision);
    }

    private StoreReply delete(StoreCommand.Delete delete) {
        if (modRevision(delete.key()) != delete.expectedModRevision()) {
            return new StoreReply.Conflicted(entry(delete.key()));
        }
        entries.remove(delete.key());
        return new StoreReply.Written(++revision);
    }

    private StoreReply renewLease(long leaseId, long nowMillis) {
        if (!leaseExpiryMillis.containsKey(leaseId)) {
            return new StoreReply.Leased(leaseId, 0);
        }
        leaseExpiryMillis.put(leaseId, nowMillis + leaseTtlMillis.get(leaseId));
        return new StoreReply.Leased(leaseId, leaseTtlMillis.get(leaseId));
    }

    private long modRevision(String key) {
        return entry(key).map(StoreEntry::modRevision).getOrElse(0L);
    }

    private void expire(long nowMillis) {
        leaseExpiryMillis.values().removeIf(end -> end <= nowMillis);
        for (String key : new ArrayList<>(entries.keySet())) {
            long lease = leaseIdByKey.get(key);
            if (lease != 0 && !leaseExpiryMillis.containsKey(lease)) {
                entries.remove(key);
                revision++;
            }
        }
    }
}
