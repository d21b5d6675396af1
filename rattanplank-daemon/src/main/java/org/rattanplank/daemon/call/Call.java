package org.rattanplank.daemon.call;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;

/**
 * One request in flight with whoever asked it.
 *
 * <p>Invariants: whoever asked gets parts of the current attempt only, each once and in order, and one outcome at most;
 * nothing follows the outcome. Thread safe; one lock guards all state, and the asker is called with it held.
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

    private Call(Request request, Envelope envelope, Asker asker) {
        this.request = request;
        this.envelope = envelope;
        this.asker = asker;
    }

    /**
     * Makes a call with no attempt.
     *
     * @param request the request
     * @param envelope what the core does not see
     * @param asker whoever asked
     * @return the call
     */
    public static Call of(Request request, Envelope envelope, Asker asker) {
        return new Call(request, envelope, asker);
    }

    /**
     * The request.
     *
     * @return the request
     */
    public Request request() {
        return request;
    }

    /**
     * What the core does not see.
     *
     * @return the envelope
     */
    public Envelope envelope() {
        return envelope;
    }

    /**
     * Counts the parts that whoever asked has.
     *
     * @return the number of parts
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
     * Makes an attempt the current one.
     *
     * @param attempt the attempt
     * @param resumes whether it goes on with an earlier attempt's stream
     * @param freshId the identifier that a target sees if the attempt starts anew
     * @return the identifier that the target sees
     */
    public String begin(int attempt, boolean resumes, String freshId) {
        lock.lock();
        try {
            currentAttempt = attempt;
            if (!resumes || streamId.isEmpty()) {
                streamId = freshId;
            }
            return streamId;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Ends an attempt: no byte of it reaches whoever asked from now on.
     *
     * @param attempt the attempt
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
     * Passes on a part of a streamed answer.
     *
     * @param attempt the attempt that brought it
     * @param number the part's number
     * @param part one server-sent event
     * @param path the hosts and the target that it took behind this host
     * @return what became of it
     */
    public Relayed relay(int attempt, long number, byte[] part, List<String> path) {
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
            asker.part(number, part, path);
            partsPassedOn++;
            return Relayed.PASSED_ON;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Gives the outcome to whoever asked, unless there was one.
     *
     * @param outcome the outcome
     * @return whether it was the first
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
