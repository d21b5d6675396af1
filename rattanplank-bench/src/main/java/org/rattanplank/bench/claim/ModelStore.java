package org.rattanplank.bench.claim;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * A model of the platform's store: compare-and-swap, a delay, a write at a time, outages. Not thread safe.
 *
 * <p>Invariant: writes are served one after the other, so no more than {@link #WRITES_PER_SECOND} take effect a second.
 */
final class ModelStore {
    static final int WRITES_PER_SECOND = 500;
    static final long FIXED_MICROS = 2_000;
    static final long MEAN_MORE_MICROS = 1_000;

    private static final long WRITE_MICROS = 1_000_000 / WRITES_PER_SECOND;

    private final VirtualTime time;
    private final Map<String, StoreEntry> entries = new TreeMap<>();
    private long revision;
    private long busyUntilMicros;
    private boolean out;
    private long writes;

    ModelStore(VirtualTime time) {
        this.time = time;
    }

    long writes() {
        return writes;
    }

    void out(boolean isOut) {
        out = isOut;
    }

    void call(StoreCommand command, Consumer<StoreReply> replied) {
        long waitMicros = 0;
        if (command instanceof StoreCommand.Put && !out) {
            busyUntilMicros = Math.max(busyUntilMicros, time.nowMicros()) + WRITE_MICROS;
            waitMicros = busyUntilMicros - time.nowMicros();
        }
        time.afterAbout(waitMicros + FIXED_MICROS, MEAN_MORE_MICROS, () -> replied.accept(apply(command)));
    }

    private StoreReply apply(StoreCommand command) {
        if (out) {
            return new StoreReply.Unavailable("the store is out");
        }
        if (command instanceof StoreCommand.Put put) {
            return put(put);
        }
        StoreCommand.Get get = (StoreCommand.Get) command;
        return new StoreReply.Found(Option.of(entries.get(get.key())).toJavaList(), revision);
    }

    private StoreReply put(StoreCommand.Put put) {
        writes++;
        Option<StoreEntry> current = Option.of(entries.get(put.key()));
        if (current.map(StoreEntry::modRevision).getOrElse(0L) != put.expectedModRevision()) {
            return new StoreReply.Conflicted(current);
        }
        revision++;
        entries.put(put.key(), new StoreEntry(put.key(), put.value(), revision));
        return new StoreReply.Written(revision);
    }
}
