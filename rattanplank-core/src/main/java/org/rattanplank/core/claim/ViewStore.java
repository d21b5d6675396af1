package org.rattanplank.core.claim;

import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * Holds the latest known view record of the store, and the calls to the store in flight.
 *
 * <p>Invariant: the known record only moves to higher revisions. Not thread safe; guarded by the lock of {@link
 * Claims}.
 */
final class ViewStore {
    /** Purpose of a call to the store. */
    enum Purpose {
        /** Reads the view record. */
        READ,
        /** Forms a view. */
        CHANGE,
        /** Writes a view that was formed by consent. */
        RECORD
    }

    /**
     * A call in flight. Immutable and thread safe.
     *
     * @param purpose the purpose
     * @param view the view that it writes, none for a read
     */
    record Call(Purpose purpose, Option<ClaimView> view) {}

    private static final long UNKNOWN_REVISION = -1;

    private final String key;
    private final Map<Long, Call> callsInFlight = new TreeMap<>();
    private Option<ClaimView> recorded = Option.none();
    private long revision = UNKNOWN_REVISION;
    private boolean unavailable;
    private long nextCallId = 1;

    ViewStore(String dataCentre) {
        key = ViewRecordCodec.storeKey(dataCentre);
    }

    private ViewStore(ViewStore other) {
        key = other.key;
        callsInFlight.putAll(other.callsInFlight);
        recorded = other.recorded;
        revision = other.revision;
        unavailable = other.unavailable;
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

    boolean isRecordKnown() {
        return revision != UNKNOWN_REVISION;
    }

    /** Returns whether the last call had no reply or could not be made. */
    boolean isUnavailable() {
        return unavailable;
    }

    boolean isCalling(Purpose purpose) {
        return callsInFlight.values().stream().anyMatch(call -> call.purpose() == purpose);
    }

    void read(ActionList out) {
        if (isCalling(Purpose.READ)) {
            return;
        }
        call(new Call(Purpose.READ, Option.none()), new StoreCommand.Get(key), out);
    }

    /** Discards the replies of reads in flight. */
    void discardReads() {
        callsInFlight.values().removeIf(call -> call.purpose() == Purpose.READ);
    }

    void write(Purpose purpose, ClaimView view, ActionList out) {
        String value = ViewRecordCodec.toJson(view);
        call(new Call(purpose, Option.some(view)), new StoreCommand.Put(key, value, revision, 0), out);
    }

    Option<Call> callReplied(long callId, StoreReply reply) {
        Option<Call> call = Option.of(callsInFlight.remove(callId));
        unavailable = reply instanceof StoreReply.Unavailable || reply instanceof StoreReply.Unsure;
        if (call.isEmpty()) {
            return call;
        }
        if (reply instanceof StoreReply.Found found) {
            update(found.entry());
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            update(conflicted.current());
        } else if (reply instanceof StoreReply.Written written) {
            update(call.get().view(), written.revision());
        }
        return call;
    }

    void update(Option<StoreEntry> entry) {
        if (entry.isEmpty()) {
            recorded = Option.none();
            revision = 0;
            return;
        }
        update(
                ViewRecordCodec.fromJson(entry.get().value()).toOption(),
                entry.get().modRevision());
    }

    void update(Option<ClaimView> view, long atRevision) {
        if (view.isDefined() && atRevision > revision) {
            recorded = view;
            revision = atRevision;
        }
    }

    private void call(Call call, StoreCommand command, ActionList out) {
        long callId = nextCallId++;
        callsInFlight.put(callId, call);
        out.callStore(callId, command);
    }

    String stateKey() {
        return recorded + " at " + revision + " calls " + callsInFlight + " unavailable " + unavailable;
    }
}
