package org.rattanplank.core.control;

import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;

/**
 * Lease that allows one host of a region to send orders to targets; its fencing number is the store revision at which
 * the key was written with the lease.
 *
 * <p>Invariant: validity counts from when the call that granted or renewed the lease was sent, so that this host stops
 * before the lease expires in the store. At most one call is in flight. Not thread safe.
 */
final class ControllerLease {
    static final long TTL_MILLIS = 10_000;

    /**
     * Time before the expiry of the lease during which no order is sent, so that the last one reaches its socket in
     * time.
     */
    static final long STOP_MARGIN_MILLIS = 2_000;

    /**
     * Maximum time for which an order may be in flight; a successor sends none until the orders of its predecessor are
     * complete.
     */
    static final long MAX_ORDER_IN_FLIGHT_MILLIS = 5_000;

    private static final long RENEW_INTERVAL_MILLIS = 3_000;
    private static final long RENEW_RETRY_MILLIS = 1_000;
    private static final long POLL_INTERVAL_MILLIS = 5_000;
    private static final long MAX_BACKOFF_MILLIS = 30_000;
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
    private Backoff backoff = Backoff.of(POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, MAX_BACKOFF_MILLIS);
    private Option<Call> callInFlight = Option.none();
    private long callInFlightId;
    private long callSentAtMillis;
    private Option<Call> nextCall = Option.none();
    private long nextCallAtMillis;
    private long leaseId;
    private long validUntilMillis;
    private long fencingNumber;
    private long heldSinceMillis;

    ControllerLease(NodeIdentity self, RandomGenerator random) {
        this.self = self;
        this.random = random;
        key = "rattanplank/controller/" + self.location().region();
    }

    boolean isHeld(long nowMillis) {
        return fencingNumber > 0 && nowMillis < validUntilMillis;
    }

    /** Returns whether an order may be sent to a target that rejects outdated fencing numbers. */
    boolean canSendOrder(long nowMillis) {
        return isHeld(nowMillis) && nowMillis < validUntilMillis - STOP_MARGIN_MILLIS;
    }

    /** Returns whether an order may be sent to a target that does not check fencing numbers. */
    boolean canSendUnfencedOrder(long nowMillis) {
        return canSendOrder(nowMillis) && nowMillis >= heldSinceMillis + MAX_ORDER_IN_FLIGHT_MILLIS;
    }

    long fencingNumber() {
        return fencingNumber;
    }

    /** Releases the lease locally, because it may have expired or another host holds a newer one. */
    void release(long nowMillis) {
        fencingNumber = 0;
        leaseId = 0;
        callInFlight = Option.none();
        schedule(Call.READ, nowMillis + backoff.delayMillis(random));
    }

    Option<StoreCommand> tick(boolean candidate, long newCallId, long nowMillis) {
        if (fencingNumber > 0 && !isHeld(nowMillis)) {
            release(nowMillis);
        }
        if (callInFlight.isDefined() && nowMillis - callSentAtMillis < CALL_TIMEOUT_MILLIS) {
            return Option.none();
        }
        if (callInFlight.isDefined()) {
            callFailed(callInFlight.get(), nowMillis);
        }
        if (nextCall.isEmpty()) {
            schedule(Call.READ, nowMillis + random.nextLong(POLL_INTERVAL_MILLIS / 2));
        }
        if (nowMillis < nextCallAtMillis || (!candidate && fencingNumber == 0)) {
            return Option.none();
        }
        return Option.some(call(nextCall.get(), newCallId, nowMillis));
    }

    private StoreCommand call(Call call, long newCallId, long nowMillis) {
        callInFlight = Option.some(call);
        callInFlightId = newCallId;
        callSentAtMillis = nowMillis;
        return switch (call) {
            case READ -> new StoreCommand.Get(key);
            case GRANT -> new StoreCommand.GrantLease(TTL_MILLIS);
            case WRITE -> new StoreCommand.Put(key, holderValue(), 0, leaseId);
            case KEEP -> new StoreCommand.KeepLease(leaseId);
        };
    }

    void callReplied(long repliedCallId, StoreReply reply, long nowMillis) {
        if (callInFlight.isEmpty() || repliedCallId != callInFlightId) {
            return;
        }
        Call call = callInFlight.get();
        callInFlight = Option.none();
        if (reply instanceof StoreReply.Unsure || reply instanceof StoreReply.Unavailable) {
            callFailed(call, nowMillis);
            return;
        }
        backoff = backoff.succeeded();
        if (reply instanceof StoreReply.Found found) {
            recordRead(found.entry(), nowMillis);
        } else if (reply instanceof StoreReply.Leased leased) {
            leaseGranted(call, leased, nowMillis);
        } else if (reply instanceof StoreReply.Written written) {
            acquired(written.revision(), nowMillis);
        } else {
            release(nowMillis);
        }
    }

    private void recordRead(Option<StoreEntry> entry, long nowMillis) {
        if (entry.isEmpty()) {
            schedule(Call.GRANT, nowMillis);
        } else if (leaseId != 0 && entry.get().value().equals(holderValue()) && nowMillis < validUntilMillis) {
            acquired(entry.get().modRevision(), nowMillis);
        } else {
            leaseId = 0;
            schedule(Call.READ, nowMillis + backoff.delayMillis(random));
        }
    }

    private void leaseGranted(Call call, StoreReply.Leased leased, long nowMillis) {
        if (leased.ttlMillis() <= 0) {
            release(nowMillis);
            return;
        }
        leaseId = leased.leaseId();
        validUntilMillis = callSentAtMillis + leased.ttlMillis();
        if (call == Call.GRANT) {
            schedule(Call.WRITE, nowMillis);
        } else {
            schedule(Call.KEEP, callSentAtMillis + RENEW_INTERVAL_MILLIS);
        }
    }

    private void acquired(long revision, long nowMillis) {
        fencingNumber = revision;
        heldSinceMillis = nowMillis;
        schedule(Call.KEEP, callSentAtMillis + RENEW_INTERVAL_MILLIS);
    }

    private void callFailed(Call call, long nowMillis) {
        callInFlight = Option.none();
        backoff = backoff.failed();
        if (call == Call.KEEP) {
            schedule(Call.KEEP, nowMillis + RENEW_RETRY_MILLIS);
        } else {
            // A write whose reply was lost may have taken effect: the key then contains this lease. Without reading it
            // back, the region would have no controller until the lease expires.
            schedule(Call.READ, nowMillis + backoff.delayMillis(random) / 2);
        }
    }

    private void schedule(Call call, long atMillis) {
        nextCall = Option.some(call);
        nextCallAtMillis = atMillis;
    }

    private String holderValue() {
        return self.host() + "/" + self.incarnation() + "/" + leaseId;
    }
}
