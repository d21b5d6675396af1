package org.rattanplank.daemon.call;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;

/**
 * A request in flight together with its requester: the side that receives the response, which is a caller's connection
 * or the link to the host that forwarded the request.
 *
 * <p>Invariants: the requester receives stream events of the current attempt only, each once and in order, and at most
 * one outcome; nothing follows the outcome. Thread safe; one lock guards all state and is held while the requester is
 * called.
 */
public final class Call {
    private static final int NO_ATTEMPT = 0;

    private final ReentrantLock lock = new ReentrantLock();
    private final Request request;
    private final Envelope envelope;
    private final Requester requester;
    private int currentAttempt = NO_ATTEMPT;
    private String streamId = "";
    private long streamEventsRelayed;
    private boolean finished;

    private Call(Request request, Envelope envelope, Requester requester) {
        this.request = request;
        this.envelope = envelope;
        this.requester = requester;
    }

    /**
     * Creates a call without an attempt.
     *
     * @param request the request
     * @param envelope the data of the request that the core does not use
     * @param requester the requester
     * @return the call
     */
    public static Call of(Request request, Envelope envelope, Requester requester) {
        return new Call(request, envelope, requester);
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    public Request request() {
        return request;
    }

    /**
     * Returns the data of the request that the core does not use.
     *
     * @return the envelope
     */
    public Envelope envelope() {
        return envelope;
    }

    /**
     * Returns the number of stream events relayed to the requester.
     *
     * @return the number of events
     */
    public long streamEventsRelayed() {
        lock.lock();
        try {
            return streamEventsRelayed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Makes an attempt the current one and returns its stream identifier.
     *
     * @param attempt the attempt's number
     * @param resumes whether it resumes the stream of a previous attempt
     * @param newStreamId the identifier to send to the target if the attempt does not resume a stream
     * @return the identifier to send to the target
     */
    public String beginAttempt(int attempt, boolean resumes, String newStreamId) {
        lock.lock();
        try {
            currentAttempt = attempt;
            if (!resumes || streamId.isEmpty()) {
                streamId = newStreamId;
            }
            return streamId;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Ends an attempt; none of its stream events are relayed from now on.
     *
     * @param attempt the attempt's number
     */
    public void endAttempt(int attempt) {
        lock.lock();
        try {
            if (currentAttempt == attempt) {
                currentAttempt = NO_ATTEMPT;
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Relays an event of a streamed response to the requester if it is the next one of the current attempt.
     *
     * @param attempt the number of the attempt that received the event
     * @param number the event's sequence number
     * @param event one encoded server-sent event
     * @param path the target and the hosts that the event came through before this host
     * @return whether the event was relayed, or why not
     */
    public RelayResult relay(int attempt, long number, byte[] event, List<String> path) {
        lock.lock();
        try {
            if (finished || attempt != currentAttempt) {
                return RelayResult.STALE;
            }
            if (number < streamEventsRelayed) {
                return RelayResult.DUPLICATE;
            }
            if (number > streamEventsRelayed) {
                return RelayResult.GAP;
            }
            requester.streamEvent(number, event, path);
            streamEventsRelayed++;
            return RelayResult.PASSED_ON;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Delivers the outcome to the requester, unless an outcome was delivered before.
     *
     * @param outcome the outcome
     * @return whether this outcome was delivered
     */
    public boolean finish(Outcome outcome) {
        lock.lock();
        try {
            if (finished) {
                return false;
            }
            finished = true;
            requester.finish(outcome);
            return true;
        } finally {
            lock.unlock();
        }
    }
}
