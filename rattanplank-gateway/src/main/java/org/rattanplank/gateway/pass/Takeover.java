package org.rattanplank.gateway.pass;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.rattanplank.core.response.Completeness;
import org.rattanplank.gateway.target.Attempt;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;

/**
 * An attempt to continue a begun stream at another target while its own one is silent, which may go on later.
 *
 * <p>Invariants: the silent target's attempt goes on until this one is accepted, and is left then; whichever continues the
 * stream first, the other one is cancelled, so that no event is delivered of both. It ends accepted or withdrawn, once.
 * Confined to the event loop.
 */
abstract class Takeover implements AttemptListener {
    /** How long after one that was withdrawn the next one may begin. */
    static final long PAUSE_MILLIS = 1_000;

    /**
     * How long the other target may take to reject the stream; a rejection comes at once. It is accepted afterwards, as two
     * targets may not work on a stream for long.
     */
    private static final long DECISION_MILLIS = 200;

    private final AttemptListener stream;
    private final long startedAtMillis;
    private Attempt attempt;
    private boolean accepted;
    private boolean withdrawn;

    /**
     * Creates one whose attempt isn't started yet.
     *
     * @param stream receives the events of the attempt once it is accepted
     * @param startedAtMillis the time
     */
    Takeover(AttemptListener stream, long startedAtMillis) {
        this.stream = Objects.requireNonNull(stream, "stream");
        this.startedAtMillis = startedAtMillis;
    }

    /** Returns the attempt at the silent target. */
    abstract Attempt silentAttempt();

    /** Called when it is accepted: its attempt replaces that of the silent target, which has failed or is cancelled. */
    abstract void onAccepted(AttemptFailure failure, String reason);

    /** Called when it is withdrawn: the stream stays with the silent target. */
    abstract void onWithdrawn();

    /** Called in addition when it is withdrawn because the other target didn't take the stream. */
    abstract void onRejected(AttemptFailure failure, String reason);

    final void started(Attempt started) {
        attempt = started;
    }

    final Attempt attempt() {
        return attempt;
    }

    final long startedAtMillis() {
        return startedAtMillis;
    }

    /** Accepts it if the other target has not rejected the stream in time. */
    final void tick(long nowMillis) {
        if (nowMillis - startedAtMillis >= DECISION_MILLIS) {
            accept();
        }
    }

    /** Accepts it as the attempt at the silent target has failed. */
    final void replaceFailed(AttemptFailure failure, String reason) {
        accepted = true;
        onAccepted(failure, reason);
    }

    /** Withdraws it, as the silent target goes on or the stream has ended. */
    final void cancel() {
        if (!accepted && !withdrawn) {
            withdraw();
            attempt.cancel();
        }
    }

    private void accept() {
        if (!accepted) {
            Attempt silent = silentAttempt();
            replaceFailed(AttemptFailure.UNKNOWN, "the target is unresponsive");
            silent.cancel();
        }
    }

    private void withdraw() {
        withdrawn = true;
        onWithdrawn();
    }

    @Override
    public final void headersReceived(int status, HttpHeaders headers) {
        if (withdrawn) {
            return;
        }
        if (!accepted && status != HttpResponseStatus.OK.code()) {
            cancel();
            onRejected(AttemptFailure.UNKNOWN, "the target responded with status " + status);
            return;
        }
        accept();
        stream.headersReceived(status, headers);
    }

    @Override
    public final void contentReceived(ByteBuf bytes) {
        if (accepted) {
            stream.contentReceived(bytes);
        }
    }

    @Override
    public final void endedByConnection(Completeness completeness) {
        if (accepted) {
            stream.endedByConnection(completeness);
        }
    }

    @Override
    public final void completed() {
        if (accepted) {
            stream.completed();
        }
    }

    @Override
    public final void failed(AttemptFailure failure, String reason) {
        if (accepted) {
            stream.failed(failure, reason);
        } else if (!withdrawn) {
            withdraw();
            onRejected(failure, reason);
        }
    }
}
