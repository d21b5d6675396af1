package org.rattanplank.core.claim;

import java.util.List;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/** Simulates one key of a store with compare-and-swap. Not thread safe. */
final class FakeStore {
    private Option<StoreEntry> entry = Option.none();
    private long revision;
    boolean unavailable;
    int writeCount;

    FakeStore copy() {
        FakeStore copy = new FakeStore();
        copy.entry = entry;
        copy.revision = revision;
        copy.unavailable = unavailable;
        copy.writeCount = writeCount;
        return copy;
    }

    StoreReply apply(StoreCommand command) {
        if (unavailable) {
            return new StoreReply.Unavailable("the store is unavailable");
        }
        if (command instanceof StoreCommand.Put put) {
            return put(put);
        }
        return new StoreReply.Found(entry.map(List::of).getOrElse(List.of()), revision);
    }

    private StoreReply put(StoreCommand.Put put) {
        if (entry.map(StoreEntry::modRevision).getOrElse(0L) != put.expectedModRevision()) {
            return new StoreReply.Conflicted(entry);
        }
        revision++;
        writeCount++;
        entry = Option.some(new StoreEntry(put.key(), put.value(), revision));
        return new StoreReply.Written(revision);
    }

    @Override
    public String toString() {
        return entry + " " + unavailable;
    }
}
