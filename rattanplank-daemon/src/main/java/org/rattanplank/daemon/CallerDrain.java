package org.rattanplank.daemon;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.rattanplank.daemon.caller.CallerServer;

/**
 * Drains the connections of callers before the process terminates. Confined to one thread.
 *
 * <p>A response may be decided but not yet sent, and a caller may connect just before the port closes; if its connection
 * were reset, it could not tell whether its request ran. The port therefore stays open and new requests are rejected
 * until callers have had time to switch to other hosts. Then the port closes, open requests get their responses, and
 * idle connections are closed.
 *
 * <p>Invariant: the drain completes only when no connection is open. A period without requests is not sufficient,
 * because a process without CPU time reads nothing although requests may be pending in its sockets.
 */
final class CallerDrain {
    private static final long QUIET_PERIOD_MILLIS = 300;

    /** Covers the lifetime of a host list, within which callers with persistent connections request a new one. */
    private static final long KEEP_ALIVE_GRACE_MILLIS = 2_000;

    private static final long MAX_OPEN_MILLIS = 3_000;

    /** Limits the cost of scanning the open connections, of which there are some thousands at most. */
    private static final long CLOSE_IDLE_INTERVAL_MILLIS = 50;

    private final CallerServer callerServer;
    private final IntSupplier unfinishedRequests;
    private final LongSupplier clock;
    private final long startedAtMillis;
    private long quietSinceMillis;
    private long arrivals;
    private long idleClosedAtMillis;
    private boolean portCloseRequested;
    private boolean interrupted;

    CallerDrain(CallerServer callerServer, IntSupplier unfinishedRequests, LongSupplier clock) {
        this.callerServer = callerServer;
        this.unfinishedRequests = unfinishedRequests;
        this.clock = clock;
        startedAtMillis = clock.getAsLong();
        quietSinceMillis = startedAtMillis;
    }

    /** Advances the drain and returns whether it is complete; must be called periodically until then. */
    boolean advance() {
        long nowMillis = clock.getAsLong();
        boolean busy = unfinishedRequests.getAsInt() > 0;
        long newArrivals = callerServer.arrivals();
        if (busy || newArrivals != arrivals) {
            quietSinceMillis = nowMillis;
        }
        arrivals = newArrivals;
        boolean quiet = nowMillis - quietSinceMillis >= QUIET_PERIOD_MILLIS;
        if (portCloseRequested) {
            closeIdleConnections(nowMillis);
            return !busy && callerServer.isPortClosed() && callerServer.openConnections() == 0;
        }
        long openMillis = nowMillis - startedAtMillis;
        boolean keepAliveGrace = callerServer.openConnections() > 0 && openMillis < KEEP_ALIVE_GRACE_MILLIS;
        if (quiet && !keepAliveGrace || openMillis >= MAX_OPEN_MILLIS) {
            closePort();
        }
        return false;
    }

    /** Closes the port now, and rejects requests that have not arrived completely from now on. */
    void interrupt() {
        interrupted = true;
        closePort();
    }

    private void closePort() {
        if (!portCloseRequested) {
            portCloseRequested = true;
            callerServer.stopAccepting();
        }
    }

    private void closeIdleConnections(long nowMillis) {
        if (nowMillis - idleClosedAtMillis >= CLOSE_IDLE_INTERVAL_MILLIS) {
            idleClosedAtMillis = nowMillis;
            callerServer.closeIdleConnections();
            if (interrupted) {
                callerServer.rejectIncompleteRequests();
            }
        }
    }
}
