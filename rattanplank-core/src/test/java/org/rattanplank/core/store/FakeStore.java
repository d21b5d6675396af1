package org.rattanplank.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;

/** In-memory store of the platform with injectable faults. Not thread safe. */
public final class FakeStore {
    /** Fault injected into one call. */
    public enum Fault {
        NONE,
        ANSWER_LOST,
        REQUEST_LOST,
        DOWN
    }

    private record Lease(long ttlMillis, long endsMillis) {}

    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    private final Map<String, Long> leaseOfKey = new TreeMap<>();
    private final Map<Long, Lease> leases = new TreeMap<>();
    private final List<StoreEntry> history = new ArrayList<>();
    private long revision = 1;
    private long nextLease = 100;
    private int calls;

    public StoreReply call(StoreCommand command, Fault fault, long nowMillis) {
        calls++;
        expire(nowMillis);
        return switch (fault) {
            case NONE -> apply(command, nowMillis);
            case ANSWER_LOST -> {
                apply(command, nowMillis);
                yield new StoreReply.Unsure("answer lost");
            }
            case REQUEST_LOST -> new StoreReply.Unsure("request lost");
            case DOWN -> new StoreReply.Unavailable("down");
        };
    }

    public StoreReply call(StoreCommand command, long nowMillis) {
        return call(command, Fault.NONE, nowMillis);
    }

    public StoreReply staleGet(String key, long atRevision) {
        StoreEntry found = null;
        for (StoreEntry entry : history) {
            if (entry.key().equals(key) && entry.modRevision() <= atRevision) {
                found = entry;
            }
        }
        return new StoreReply.Found(found == null ? List.of() : List.of(found), atRevision);
    }

    public Option<StoreEntry> entry(String key) {
        return Option.of(entries.get(key));
    }

    public long revision() {
        return revision;
    }

    public int calls() {
        return calls;
    }

    public void write(String key, String value) {
        put(key, value, 0);
    }

    private StoreReply apply(StoreCommand command, long nowMillis) {
        if (command instanceof StoreCommand.Get get) {
            return new StoreReply.Found(entry(get.key()).toJavaList(), revision);
        }
        if (command instanceof StoreCommand.Put put) {
            long currentRevision = entry(put.key()).map(StoreEntry::modRevision).getOrElse(0L);
            boolean leaseExpired = put.leaseId() != 0 && !leases.containsKey(put.leaseId());
            if (currentRevision != put.expectedModRevision() || leaseExpired) {
                return new StoreReply.Conflicted(entry(put.key()));
            }
            return new StoreReply.Written(put(put.key(), put.value(), put.leaseId()));
        }
        if (command instanceof StoreCommand.GrantLease grant) {
            leases.put(++nextLease, new Lease(grant.ttlMillis(), nowMillis + grant.ttlMillis()));
            return new StoreReply.Leased(nextLease, grant.ttlMillis());
        }
        if (command instanceof StoreCommand.KeepLease renewal) {
            Lease lease = leases.get(renewal.leaseId());
            if (lease == null) {
                return new StoreReply.Leased(renewal.leaseId(), 0);
            }
            leases.put(renewal.leaseId(), new Lease(lease.ttlMillis(), nowMillis + lease.ttlMillis()));
            return new StoreReply.Leased(renewal.leaseId(), lease.ttlMillis());
        }
        return new StoreReply.Unavailable("command is not supported by this fake");
    }

    private long put(String key, String value, long leaseId) {
        StoreEntry entry = new StoreEntry(key, value, ++revision);
        entries.put(key, entry);
        history.add(entry);
        leaseOfKey.put(key, leaseId);
        return revision;
    }

    private void expire(long nowMillis) {
        leases.values().removeIf(lease -> lease.endsMillis() <= nowMillis);
        entries.keySet().removeIf(key -> leaseOfKey.get(key) != 0 && !leases.containsKey(leaseOfKey.get(key)));
    }
}
