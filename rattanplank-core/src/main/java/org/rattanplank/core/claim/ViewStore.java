package org.rattanplank.core.claim;

import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * What a host knows of the view's record in the platform's store, and its calls in flight.
 *
 * <p>Invariant: the known record only moves to higher revisions. Not thread safe; guarded by the lock of {@link
 * Claims}.
 */
final class ViewStore {
    /** What a call to the store is for. */
    enum Purpose {
        /** To learn the record. */
        READ,
        /** To form a view. */
        CHANGE,
        /** To write down a view that its members have formed. */
        RECORD
    }

    /**
     * A call in flight. Immutable and thread safe.
     *
     * @param purpose what it is for
     * @param view the view that it writes, none for a read
     */
    record Call(Purpose purpose, Option<ClaimView> view) {}

    private static final long UNKNOWN_REVISION = -1;

    private final String key;
    private final Map<Long, Call> calls = new TreeMap<>();
    private Option<ClaimView> recorded = Option.none();
    private long revision = UNKNOWN_REVISION;
    private boolean down;
    private long nextCallId = 1;

    ViewStore(String dataCentre) {
        key = ViewRecords.storeKey(dataCentre);
    }

    private ViewStore(ViewStore other) {
        key = other.key;
        calls.putAll(other.calls);
        recorded = other.recorded;
        revision = other.revision;
        down = other.down;
        nextCallId = other.nextCallId;
    }

    ViewStore copy() {
        return new ViewStore(this);
    }

    Option<ClaimView> recorded() {
        return recorded;
    }

    long revision() {
        return revision;
    }

    boolean isKnown() {
        return revision != UNKNOWN_REVISION;
    }

    /** Whether the last call had no answer or could not be made. */
    boolean isDown() {
        return down;
    }

    boolean isCalling(Purpose purpose) {
        return calls.values().stream().anyMatch(call -> call.purpose() == purpose);
    }

    void read(StepList out) {
        if (isCalling(Purpose.READ)) {
            return;
        }
        call(new Call(Purpose.READ, Option.none()), new StoreCommand.Get(key), out);
    }

    /** Pays no heed to the answers of reads in flight. */
    void dropReads() {
        calls.values().removeIf(call -> call.purpose() == Purpose.READ);
    }

    void write(Purpose purpose, ClaimView view, StepList out) {
        String value = ViewRecords.toJson(view);
        call(new Call(purpose, Option.some(view)), new StoreCommand.Put(key, value, revision, 0), out);
    }

    Option<Call> replied(long callId, StoreReply reply) {
        Option<Call> call = Option.of(calls.remove(callId));
        down = reply instanceof StoreReply.Unavailable || reply instanceof StoreReply.Unsure;
        if (call.isEmpty()) {
            return call;
        }
        if (reply instanceof StoreReply.Found found) {
            learn(found.entry());
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            learn(conflicted.current());
        } else if (reply instanceof StoreReply.Written written) {
            learn(call.get().view(), written.revision());
        }
        return call;
    }

    void learn(Option<StoreEntry> entry) {
        if (entry.isEmpty()) {
            recorded = Option.none();
            revision = 0;
            return;
        }
        learn(ViewRecords.fromJson(entry.get().value()).toOption(), entry.get().modRevision());
    }

    void learn(Option<ClaimView> view, long atRevision) {
        if (view.isDefined() && atRevision > revision) {
            recorded = view;
            revision = atRevision;
        }
    }

    private void call(Call call, StoreCommand command, StepList out) {
        long callId = nextCallId++;
        calls.put(callId, call);
        out.callStore(callId, command);
    }

    String describe() {
        return recorded + " at " + revision + " calls " + calls + " down " + down;
    }
}
