package org.rattanplank.core.control;

import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * The lease that lets one host of a region give orders to targets; its fencing number is the revision at which the key
 * was written with the lease.
 *
 * <p>Invariant: the lease counts from when the call that granted or kept it was made, so that this host stops before the
 * store lets the lease lapse. One call at a time. Not thread safe.
 */
final class ControllerLease {
    static final long TTL_MILLIS = 10_000;

    /** Before the lease could lapse, no order leaves for so long: time for the last one to be handed to its socket. */
    static final long STOP_MARGIN_MILLIS = 2_000;

    /** The longest that an order may be in flight; a successor gives none before its predecessor's have ended. */
    static final long ORDER_LIMIT_MILLIS = 5_000;

    private static final long KEEP_MILLIS = 3_000;
    private static final long KEEP_RETRY_MILLIS = 1_000;
    private static final long POLL_MILLIS = 5_000;
    private static final long MAX_RETRY_MILLIS = 30_000;
    private static final long CALL_TIMEOUT_MILLIS = 3_000;

    private enum Call {
        READ,
        GRANT,
        WRITE,
        KEEP
    }

    private final NodeIdentity self;
    private final String key;
    private final RandomGenerator random;
    private Backoff backoff = Backoff.of(POLL_MILLIS, POLL_MILLIS, MAX_RETRY_MILLIS);
    private Option<Call> waiting = Option.none();
    private long callId;
    private long sentMillis;
    private Option<Call> next = Option.none();
    private long nextMillis;
    private long leaseId;
    private long validUntilMillis;
    private long fencingNumber;
    private long heldSinceMillis;

    ControllerLease(NodeIdentity self, RandomGenerator random) {
        this.self = self;
        this.random = random;
        key = "rattanplank/controller/" + self.place().region();
    }

    boolean isHeld(long nowMillis) {
        return fencingNumber > 0 && nowMillis < validUntilMillis;
    }

    /** Tells whether an order may leave to a target that refuses old fencing numbers. */
    boolean mayOrder(long nowMillis) {
        return isHeld(nowMillis) && nowMillis < validUntilMillis - STOP_MARGIN_MILLIS;
    }

    /** Tells whether an order may leave to a target that takes orders of anybody. */
    boolean mayOrderUnfenced(long nowMillis) {
        return mayOrder(nowMillis) && nowMillis >= heldSinceMillis + ORDER_LIMIT_MILLIS;
    }

    long fencingNumber() {
        return fencingNumber;
    }

    /** Gives the lease up, because somebody else was seen to hold a newer one. */
    void lose(long nowMillis) {
        fencingNumber = 0;
        leaseId = 0;
        waiting = Option.none();
        plan(Call.READ, nowMillis + backoff.delayMillis(random));
    }

    Option<StoreCommand> tick(boolean candidate, long newCallId, long nowMillis) {
        if (fencingNumber > 0 && !isHeld(nowMillis)) {
            lose(nowMillis);
        }
        if (waiting.isDefined() && nowMillis - sentMillis < CALL_TIMEOUT_MILLIS) {
            return Option.none();
        }
        if (waiting.isDefined()) {
            unsure(waiting.get(), nowMillis);
        }
        if (next.isEmpty()) {
            plan(Call.READ, nowMillis + random.nextLong(POLL_MILLIS / 2));
        }
        if (nowMillis < nextMillis || (!candidate && fencingNumber == 0)) {
            return Option.none();
        }
        return Option.some(call(next.get(), newCallId, nowMillis));
    }

    private StoreCommand call(Call call, long newCallId, long nowMillis) {
        waiting = Option.some(call);
        callId = newCallId;
        sentMillis = nowMillis;
        return switch (call) {
            case READ -> new StoreCommand.Get(key);
            case GRANT -> new StoreCommand.GrantLease(TTL_MILLIS);
            case WRITE -> new StoreCommand.Put(key, marker(), 0, leaseId);
            case KEEP -> new StoreCommand.KeepLease(leaseId);
        };
    }

    void replied(long repliedCall, StoreReply reply, long nowMillis) {
        if (waiting.isEmpty() || repliedCall != callId) {
            return;
        }
        Call call = waiting.get();
        waiting = Option.none();
        if (reply instanceof StoreReply.Unsure || reply instanceof StoreReply.Unavailable) {
            unsure(call, nowMillis);
            return;
        }
        backoff = backoff.succeeded();
        if (reply instanceof StoreReply.Found found) {
            found(found.entry(), nowMillis);
        } else if (reply instanceof StoreReply.Leased leased) {
            leased(call, leased, nowMillis);
        } else if (reply instanceof StoreReply.Written written) {
            held(written.revision(), nowMillis);
        } else {
            lose(nowMillis);
        }
    }

    private void found(Option<StoreEntry> entry, long nowMillis) {
        if (entry.isEmpty()) {
            plan(Call.GRANT, nowMillis);
        } else if (leaseId != 0 && entry.get().value().equals(marker()) && nowMillis < validUntilMillis) {
            held(entry.get().modRevision(), nowMillis);
        } else {
            leaseId = 0;
            plan(Call.READ, nowMillis + backoff.delayMillis(random));
        }
    }

    private void leased(Call call, StoreReply.Leased leased, long nowMillis) {
        if (leased.ttlMillis() <= 0) {
            lose(nowMillis);
            return;
        }
        leaseId = leased.leaseId();
        validUntilMillis = sentMillis + leased.ttlMillis();
        if (call == Call.GRANT) {
            plan(Call.WRITE, nowMillis);
        } else {
            plan(Call.KEEP, sentMillis + KEEP_MILLIS);
        }
    }

    private void held(long revision, long nowMillis) {
        fencingNumber = revision;
        heldSinceMillis = nowMillis;
        plan(Call.KEEP, sentMillis + KEEP_MILLIS);
    }

    private void unsure(Call call, long nowMillis) {
        waiting = Option.none();
        backoff = backoff.failed();
        if (call == Call.KEEP) {
            plan(Call.KEEP, nowMillis + KEEP_RETRY_MILLIS);
        } else {
            // A write whose answer was lost may have taken effect: the key then names this lease. Without reading it
            // back, the region would have no controller until the lease lapses.
            plan(Call.READ, nowMillis + backoff.delayMillis(random) / 2);
        }
    }

    private void plan(Call call, long atMillis) {
        next = Option.some(call);
        nextMillis = atMillis;
    }

    private String marker() {
        return self.host() + "/" + self.incarnation() + "/" + leaseId;
    }
}
