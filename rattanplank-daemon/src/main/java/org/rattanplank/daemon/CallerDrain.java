package org.rattanplank.daemon;

import java.util.function.IntSupplier;

import org.rattanplank.daemon.caller.CallerServer;
import org.rattanplank.daemon.runtime.MillisClock;

/**
 * Lets the last callers go before the process ends. Confined to one thread.
 *
 * <p>An answer that is decided is not yet one that was sent, and a caller may have connected just before the port
 * closes: cut off, it could not tell whether its request ran. So the port stays open, and new requests are refused,
 * until callers have learned to go elsewhere; then it closes, and what is open is answered.
 */
final class CallerDrain {
    private static final long QUIET_MILLIS = 300;
    private static final long MAX_OPEN_MILLIS = 3_000;

    private final CallerServer callers;
    private final IntSupplier unfinished;
    private final MillisClock clock;
    private final long begunAtMillis;
    private long quietSinceMillis;
    private long arrivals;
    private boolean closed;

    CallerDrain(CallerServer callers, IntSupplier unfinished, MillisClock clock) {
        this.callers = callers;
        this.unfinished = unfinished;
        this.clock = clock;
        begunAtMillis = clock.nowMillis();
        quietSinceMillis = begunAtMillis;
    }

    /** Looks whether all callers are gone; called again and again until it says so. */
    boolean isDone() {
        long nowMillis = clock.nowMillis();
        boolean busy = unfinished.getAsInt() > 0;
        long newArrivals = callers.arrivals();
        if (busy || newArrivals != arrivals) {
            quietSinceMillis = nowMillis;
        }
        arrivals = newArrivals;
        boolean quiet = nowMillis - quietSinceMillis >= QUIET_MILLIS;
        if (closed) {
            return !busy && (quiet || callers.connections() == 0);
        }
        if (quiet || nowMillis - begunAtMillis >= MAX_OPEN_MILLIS) {
            callers.stopAccepting();
            closed = true;
            quietSinceMillis = nowMillis;
        }
        return false;
    }
}
