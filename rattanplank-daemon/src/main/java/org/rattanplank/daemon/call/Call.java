package org.rattanplank.daemon.call;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;

/**
 * A request in flight together with its requester.
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
    private final Asker asker;
    private int currentAttempt = NO_ATTEMPT;
    private String streamId = "";
    private long partsPassedOn;
    private boolean finished;

    private Call(Request request, Envelope envelope, Asker requester) {
        this.request = request;
        this.envelope = envelope;
        this.asker = requester;
    }

    /**
     * Creates a call without an attempt.
     *
     * @param request the request
     * @param envelope the data of the request that the core does not use
     * @param requester the requester
     * @return the call
     */
    public static Call of(Request request, Envelope envelope, Asker requester) {
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
     * Returns the number of stream events delivered to the requester.
     *
     * @return the number of events
     */
    public long partsPassedOn() {
        lock.lock();
        try {
            return partsPassedOn;
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
    public String begin(int attempt, boolean resumes, String newStreamId) {
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
     * Ends an attempt; none of its stream events are delivered from now on.
     *
     * @param attempt the attempt's number
     */
    public void end(int attempt) {
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
     * Delivers an event of a streamed response to the requester if it is the next one of the current attempt.
     *
     * @param attempt the number of the attempt that received the event
     * @param number the event's sequence number
     * @param event one encoded server-sent event
     * @param path the hosts and the target behind this host that the event passed through
     * @return whether the event was delivered, or why not
     */
    public Relayed relay(int attempt, long number, byte[] event, List<String> path) {
        lock.lock();
        try {
            if (finished || attempt != currentAttempt) {
                return Relayed.STALE;
            }
            if (number < partsPassedOn) {
                return Relayed.DUPLICATE;
            }
            if (number > partsPassedOn) {
                return Relayed.GAP;
            }
            asker.part(number, event, path);
            partsPassedOn++;
            return Relayed.PASSED_ON;
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
            asker.finish(outcome);
            return true;
        } finally {
            lock.unlock();
        }
    }
}
