package org.rattanplank.core.session;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/** The platform's store in memory, which can be down or lose answers. Confined to one thread. */
final class FakeStore {
    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    private long revision = 1;
    private long nextLeaseId = 1;
    private boolean down;
    private int answersToLose;

    /** Takes the store down or brings it back. */
    void down(boolean isDown) {
        down = isDown;
    }

    /** Loses the answers of the next writes, which take effect all the same. */
    void loseAnswers(int writes) {
        answersToLose = writes;
    }

    /** Writes a key, whatever it was. */
    void force(String key, String value) {
        entries.put(key, new StoreEntry(key, value, ++revision));
    }

    /** The value of a key, or none. */
    Option<String> value(String key) {
        return Option.of(entries.get(key)).map(StoreEntry::value);
    }

    /** Carries out one call. */
    StoreReply call(StoreCommand command) {
        if (down) {
            return new StoreReply.Unavailable("the store is down");
        }
        if (command instanceof StoreCommand.Get get) {
            return found(Option.of(entries.get(get.key())).toJavaList());
        } else if (command instanceof StoreCommand.List list) {
            return found(entries.values().stream()
                    .filter(entry -> entry.key().startsWith(list.prefix()))
                    .toList());
        } else if (command instanceof StoreCommand.Put put) {
            return afterWrite(put(put));
        } else if (command instanceof StoreCommand.Delete delete) {
            return afterWrite(delete(delete));
        } else if (command instanceof StoreCommand.GrantLease grant) {
            return new StoreReply.Leased(nextLeaseId++, grant.ttlMillis());
        } else if (command instanceof StoreCommand.KeepLease keep) {
            return new StoreReply.Leased(keep.leaseId(), 10_000);
        }
        return found(List.of());
    }

    private StoreReply found(List<StoreEntry> found) {
        return new StoreReply.Found(new ArrayList<>(found), revision);
    }

    private StoreReply put(StoreCommand.Put put) {
        if (!isAsExpected(put.key(), put.expectedModRevision())) {
            return new StoreReply.Conflicted(Option.of(entries.get(put.key())));
        }
        force(put.key(), put.value());
        return new StoreReply.Written(revision);
    }

    private StoreReply delete(StoreCommand.Delete delete) {
        if (!isAsExpected(delete.key(), delete.expectedModRevision())) {
            return new StoreReply.Conflicted(Option.of(entries.get(delete.key())));
        }
        entries.remove(delete.key());
        return new StoreReply.Written(++revision);
    }

    private boolean isAsExpected(String key, long expectedModRevision) {
        StoreEntry entry = entries.get(key);
        return (entry == null ? 0 : entry.modRevision()) == expectedModRevision;
    }

    private StoreReply afterWrite(StoreReply reply) {
        if (answersToLose > 0) {
            answersToLose--;
            return new StoreReply.Unsure("the answer was lost");
        }
        return reply;
    }
}
