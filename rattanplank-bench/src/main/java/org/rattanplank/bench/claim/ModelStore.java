package org.rattanplank.bench.claim;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * Models the platform's store: compare-and-swap, delays, serialized writes and outages. Not thread safe.
 *
 * <p>Invariant: writes are executed one after the other, so at most {@link #WRITES_PER_SECOND} take effect per second.
 */
final class ModelStore {
    static final int WRITES_PER_SECOND = 500;
    static final long FIXED_DELAY_MICROS = 2_000;
    static final long MEAN_EXTRA_DELAY_MICROS = 1_000;

    private static final long MICROS_PER_WRITE = 1_000_000 / WRITES_PER_SECOND;

    private final VirtualTime time;
    private final Map<String, StoreEntry> entries = new TreeMap<>();
    private long revision;
    private long busyUntilMicros;
    private boolean unavailable;
    private long writeCount;

    ModelStore(VirtualTime time) {
        this.time = time;
    }

    long writeCount() {
        return writeCount;
    }

    void unavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    void call(StoreCommand command, Consumer<StoreReply> replied) {
        long waitMicros = 0;
        if (command instanceof StoreCommand.Put && !unavailable) {
            busyUntilMicros = Math.max(busyUntilMicros, time.nowMicros()) + MICROS_PER_WRITE;
            waitMicros = busyUntilMicros - time.nowMicros();
        }
        time.afterRandomDelay(
                waitMicros + FIXED_DELAY_MICROS, MEAN_EXTRA_DELAY_MICROS, () -> replied.accept(apply(command)));
    }

    private StoreReply apply(StoreCommand command) {
        if (unavailable) {
            return new StoreReply.Unavailable("the store is unavailable");
        }
        if (command instanceof StoreCommand.Put put) {
            return put(put);
        }
        StoreCommand.Get get = (StoreCommand.Get) command;
        return new StoreReply.Found(Option.of(entries.get(get.key())).toJavaList(), revision);
    }

    private StoreReply put(StoreCommand.Put put) {
        writeCount++;
        Option<StoreEntry> current = Option.of(entries.get(put.key()));
        if (current.map(StoreEntry::modRevision).getOrElse(0L) != put.expectedModRevision()) {
            return new StoreReply.Conflicted(current);
        }
        revision++;
        entries.put(put.key(), new StoreEntry(put.key(), put.value(), revision));
        return new StoreReply.Written(revision);
    }
}
