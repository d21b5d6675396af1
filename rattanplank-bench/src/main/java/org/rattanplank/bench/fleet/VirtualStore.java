package org.rattanplank.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/** The platform's store in virtual time, with leases. Confined to one thread. */
public final class VirtualStore {
    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    private final Map<String, Long> leaseOfKey = new TreeMap<>();
    private final Map<Long, Long> leaseEnds = new TreeMap<>();
    private final Map<Long, Long> leaseTtls = new TreeMap<>();
    private long revision = 1;
    private long nextLease = 1;

    /**
     * Carries out one call.
     *
     * @param command what to do
     * @param nowMillis the time
     * @return its end
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
            leaseTtls.put(nextLease, grant.ttlMillis());
            leaseEnds.put(nextLease, nowMillis + grant.ttlMillis());
            return new StoreReply.Leased(nextLease++, grant.ttlMillis());
        }
        if (command instanceof StoreCommand.KeepLease keep) {
            return keep(keep.leaseId(), nowMillis);
        }
        return new StoreReply.Found(List.of(), revision);
    }

    /**
     * Finds a key.
     *
     * @param key the key
     * @return its entry, or none
     */
    public Option<StoreEntry> entry(String key) {
        return Option.of(entries.get(key));
    }

    /**
     * Writes a key, whatever it was.
     *
     * @param key the key
     * @param value the value
     * @return the entry
     */
    public StoreEntry write(String key, String value) {
        StoreEntry entry = new StoreEntry(key, value, ++revision);
        entries.put(key, entry);
        leaseOfKey.put(key, 0L);
        return entry;
    }

    /**
     * The newest revision.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    private StoreReply put(StoreCommand.Put put) {
        boolean leaseGone = put.leaseId() != 0 && !leaseEnds.containsKey(put.leaseId());
        if (leaseGone || modRevision(put.key()) != put.expectedModRevision()) {
            return new StoreReply.Conflicted(entry(put.key()));
        }
        write(put.key(), put.value());
        leaseOfKey.put(put.key(), put.leaseId());
        return new StoreReply.Written(revision);
    }

    private StoreReply delete(StoreCommand.Delete delete) {
        if (modRevision(delete.key()) != delete.expectedModRevision()) {
            return new StoreReply.Conflicted(entry(delete.key()));
        }
        entries.remove(delete.key());
        return new StoreReply.Written(++revision);
    }

    private StoreReply keep(long leaseId, long nowMillis) {
        if (!leaseEnds.containsKey(leaseId)) {
            return new StoreReply.Leased(leaseId, 0);
        }
        leaseEnds.put(leaseId, nowMillis + leaseTtls.get(leaseId));
        return new StoreReply.Leased(leaseId, leaseTtls.get(leaseId));
    }

    private long modRevision(String key) {
        return entry(key).map(StoreEntry::modRevision).getOrElse(0L);
    }

    private void expire(long nowMillis) {
        leaseEnds.values().removeIf(end -> end <= nowMillis);
        for (String key : new ArrayList<>(entries.keySet())) {
            long lease = leaseOfKey.get(key);
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                entries.remove(key);
                revision++;
            }
        }
    }
}
