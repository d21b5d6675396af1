package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;
import org.rattanplank.daemon.call.Asker;

/**
 * A caller who waits on a connection.
 *
 * <p>Invariant: it gets one reply, and a stream's closing event only with an outcome that is answered. Guarded by the
 * lock of its call but for {@link #abandon}, which any thread may call.
 */
final class HttpAsker implements Asker {
    private static final byte[] CLOSING_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final String requestId;
    private final String host;
    private final BooleanSupplier deadlinePassed;
    private final PartQueue parts;
    private final CompletableFuture<CallerReply> reply = new CompletableFuture<>();

    HttpAsker(String requestId, String host, BooleanSupplier deadlinePassed, PartQueue parts) {
        this.requestId = requestId;
        this.host = host;
        this.deadlinePassed = deadlinePassed;
        this.parts = parts;
    }

    CompletableFuture<CallerReply> reply() {
        return reply;
    }

    @Override
    public void part(long number, byte[] part, List<String> path) {
        startStream(io.vavr.collection.List.ofAll(path).prepend(host).asJava());
        parts.add(part);
    }

    @Override
    public void finish(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered && answered.answer().streamed()) {
            startStream(answered.path());
            parts.add(CLOSING_EVENT);
            parts.complete();
        } else if (reply.isDone()) {
            parts.breakOff();
        } else {
            reply.complete(Replies.of(requestId, outcome, deadlinePassed.getAsBoolean()));
        }
    }

    /** The caller has gone: what waits for its reply ends, and holds nothing any more. */
    void abandon() {
        Failure failure = Failure.of(Step.ACCEPT, host, "the caller has left");
        reply.complete(Replies.of(requestId, new Outcome.Unknown(failure), false));
        parts.breakOff();
    }

    private void startStream(List<String> path) {
        if (!reply.isDone()) {
            reply.complete(Replies.streamHead(requestId, path));
        }
    }
}
