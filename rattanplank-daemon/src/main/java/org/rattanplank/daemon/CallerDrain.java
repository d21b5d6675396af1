package org.rattanplank.daemon;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.rattanplank.daemon.caller.CallerServer;

/**
 * Lets the last callers go before the process ends. Confined to one thread.
 *
 * <p>An answer that is decided is not yet one that was sent, and a caller may have connected just before the port
 * closes: cut off, it could not tell whether its request ran. So the port stays open, and new requests are refused,
 * until callers have learned to go elsewhere; then it closes, what is open is answered, and what is idle is ended.
 *
 * <p>Invariant: it is done only when no connection is left. Time without a request says nothing: a process that got no
 * processor time has read nothing meanwhile, whatever came.
 */
final class CallerDrain {
    private static final long QUIET_MILLIS = 300;

    /** Callers that keep a connection ask for another list of hosts within the lifetime of theirs. */
    private static final long KEPT_MILLIS = 2_000;

    private static final long MAX_OPEN_MILLIS = 3_000;

    /** Between two looks at idle connections, which are some thousands at most. */
    private static final long END_IDLE_MILLIS = 50;

    private final CallerServer callers;
    private final IntSupplier unfinished;
    private final LongSupplier clock;
    private final long begunAtMillis;
    private long quietSinceMillis;
    private long arrivals;
    private long idleEndedAtMillis;
    private boolean closed;

    CallerDrain(CallerServer callers, IntSupplier unfinished, LongSupplier clock) {
        this.callers = callers;
        this.unfinished = unfinished;
        this.clock = clock;
        begunAtMillis = clock.getAsLong();
        quietSinceMillis = begunAtMillis;
    }

    /** Looks whether all callers are gone; called again and again until it says so. */
    boolean isDone() {
        long nowMillis = clock.getAsLong();
        boolean busy = unfinished.getAsInt() > 0;
        long newArrivals = callers.arrivals();
        if (busy || newArrivals != arrivals) {
            quietSinceMillis = nowMillis;
        }
        arrivals = newArrivals;
        boolean quiet = nowMillis - quietSinceMillis >= QUIET_MILLIS;
        if (closed) {
            endIdle(nowMillis);
            return !busy && callers.isPortClosed() && callers.connections() == 0;
        }
        long openMillis = nowMillis - begunAtMillis;
        boolean kept = callers.connections() > 0 && openMillis < KEPT_MILLIS;
        if (quiet && !kept || openMillis >= MAX_OPEN_MILLIS) {
            callers.stopAccepting();
            closed = true;
        }
        return false;
    }

    private void endIdle(long nowMillis) {
        if (nowMillis - idleEndedAtMillis >= END_IDLE_MILLIS) {
            idleEndedAtMillis = nowMillis;
            callers.endIdle();
        }
    }
}
