package org.rattanplank.core.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

import io.vavr.control.Option;

/**
 * What this host observes of the process of a target: since when its port has refused connections, and how this host's
 * requests there end.
 *
 * <p>Invariants: a request is in progress from {@link #requestSent} until it ends or is interrupted, and counts once; the
 * port counts as closed only as long as no connection attempt has succeeded since. Confined to its owner's thread.
 */
public final class TargetProcess {
    /**
     * The time within which a process that ends has closed its port and its connections. A response without a length is
     * held back for it at its end, so it adds to the latency of each one.
     */
    public static final long TERMINATION_MILLIS = 100;

    /** A process that ends closes all its connections within this time, one that shuts down in order one by one. */
    private static final long TOGETHER_MILLIS = 20;

    /** How often the port is checked while responses without a length are in progress. */
    private static final long PORT_CHECK_INTERVAL_MILLIS = 1_000;

    /** How often the port of a target that is known to leave is checked. */
    private static final long LEAVING_PORT_CHECK_INTERVAL_MILLIS = 200;

    /** Longer than the end of a response waits for its decision. */
    private static final long INTERRUPTIONS_KEPT_MILLIS = 1_000;

    /** The numbers of the requests in progress, in the order in which they were sent. */
    private final Set<Long> inProgress = new LinkedHashSet<>();

    /** Those whose response has neither a length nor chunks. */
    private final Set<Long> closeDelimited = new HashSet<>();

    /** When connections of requests have ended. */
    private final Deque<Long> interruptedAtMillis = new ArrayDeque<>();

    private long lastRequest;
    private boolean sendsCloseDelimited;
    private Option<Long> portClosedSinceMillis = Option.none();
    private long portCheckedAtMillis = Long.MIN_VALUE / 2;

    TargetProcess() {}

    /**
     * Records a request that is sent.
     *
     * @return its number
     */
    public long requestSent() {
        lastRequest++;
        inProgress.add(lastRequest);
        return lastRequest;
    }

    /**
     * Records that the response to a request has neither a length nor chunks.
     *
     * @param request the number of the request
     */
    public void closeDelimited(long request) {
        if (inProgress.contains(request)) {
            closeDelimited.add(request);
            sendsCloseDelimited = true;
        }
    }

    /**
     * Records that a request has ended without its target having ended the connection.
     *
     * @param request the number of the request
     */
    public void requestEnded(long request) {
        inProgress.remove(request);
        closeDelimited.remove(request);
    }

    /**
     * Records that the connection of a request has ended before its response is known to be whole.
     *
     * @param request the number of the request
     * @param nowMillis the time
     */
    public void requestInterrupted(long request, long nowMillis) {
        requestEnded(request);
        while (!interruptedAtMillis.isEmpty()
                && nowMillis - interruptedAtMillis.peekFirst() > INTERRUPTIONS_KEPT_MILLIS) {
            interruptedAtMillis.removeFirst();
        }
        interruptedAtMillis.addLast(nowMillis);
    }

    /**
     * Records that the port was checked.
     *
     * @param nowMillis the time at which the check began
     */
    public void portCheckStarted(long nowMillis) {
        portCheckedAtMillis = nowMillis;
    }

    /**
     * Returns whether the port was checked so lately that another check would tell nothing new.
     *
     * @param nowMillis the time
     * @return whether it was
     */
    public boolean isPortCheckRecent(long nowMillis) {
        return nowMillis - portCheckedAtMillis < TERMINATION_MILLIS;
    }

    /**
     * Records how the port answered a connection attempt.
     *
     * @param result the answer
     * @param nowMillis the time of the answer
     */
    public void portAnswered(ConnectResult result, long nowMillis) {
        if (result == ConnectResult.CONNECTED) {
            portClosedSinceMillis = Option.none();
        } else if (result == ConnectResult.REFUSED) {
            portClosedSinceMillis = portClosedSinceMillis.orElse(Option.some(nowMillis));
        }
    }

    /**
     * Returns whether any request is in progress, or was interrupted so lately that its response may not be decided on yet.
     *
     * @param nowMillis the time
     * @return whether there is one
     */
    public boolean isBusy(long nowMillis) {
        boolean interruptedLately = !interruptedAtMillis.isEmpty()
                && nowMillis - interruptedAtMillis.peekLast() <= INTERRUPTIONS_KEPT_MILLIS;
        return interruptedLately || !inProgress.isEmpty();
    }

    /**
     * Returns whether a response without a length may come from there.
     *
     * @return whether one has come already
     */
    public boolean sendsCloseDelimited() {
        return sendsCloseDelimited;
    }

    /**
     * Returns whether the port is to be checked, so that it is known whether it was closed long before a response ends.
     *
     * @param leaving whether the target is known to leave
     * @param nowMillis the time
     * @return whether it is
     */
    public boolean isPortCheckDue(boolean leaving, long nowMillis) {
        // The response to a plain request may have its head at its end, so those of a leaving target count from the
        // start.
        boolean needed = !closeDelimited.isEmpty() || leaving && sendsCloseDelimited && !inProgress.isEmpty();
        long intervalMillis = leaving ? LEAVING_PORT_CHECK_INTERVAL_MILLIS : PORT_CHECK_INTERVAL_MILLIS;
        return needed && nowMillis - portCheckedAtMillis >= intervalMillis;
    }

    /**
     * Records that a response has ended with its connection, whose interruption is recorded already.
     *
     * @param nowMillis the time
     * @return what is to be passed to {@link #terminationEvidence}
     */
    public EndedResponse responseEnded(long nowMillis) {
        long closedMillis =
                portClosedSinceMillis.map(since -> nowMillis - since).getOrElse(0L);
        return new EndedResponse(nowMillis, lastRequest, closedMillis);
    }

    /**
     * Returns what is known some time after the end of a response.
     *
     * @param ended the response
     * @param port how the port has answered since
     * @param idleConnectionOpen whether an idle connection that was opened before the end is still open
     * @return what is known
     */
    public TerminationEvidence terminationEvidence(
            EndedResponse ended, ConnectResult port, boolean idleConnectionOpen) {
        int requestsInProgress = (int) inProgress.stream()
                .takeWhile(request -> request <= ended.lastRequest())
                .count();
        int together = (int) interruptedAtMillis.stream()
                .filter(at -> Math.abs(at - ended.endedAtMillis()) <= TOGETHER_MILLIS)
                .count();
        return new TerminationEvidence(
                port, ended.portClosedMillis(), requestsInProgress, idleConnectionOpen, Math.max(0, together - 1));
    }

    /**
     * A response that has ended with its connection.
     *
     * @param endedAtMillis when it ended
     * @param lastRequest the number of the last request that was sent to its target before it ended
     * @param portClosedMillis how long its target's port was known to be closed when it ended
     */
    public record EndedResponse(long endedAtMillis, long lastRequest, long portClosedMillis) {}
}
