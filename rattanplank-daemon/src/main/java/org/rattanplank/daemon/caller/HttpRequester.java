package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;
import org.rattanplank.daemon.call.Requester;

/**
 * A caller that waits for its response on a connection.
 *
 * <p>Invariant: it gets one response, and the final event of a stream only if the outcome is {@code answered}. Guarded by
 * the lock of its call except for {@link #abandon}, which any thread may call.
 */
final class HttpRequester implements Requester {
    private static final byte[] STREAM_END_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final String requestId;
    private final String host;
    private final BooleanSupplier deadlinePassed;
    private final StreamEventPublisher streamEvents;
    private final CompletableFuture<CallerResponse> response = new CompletableFuture<>();

    HttpRequester(String requestId, String host, BooleanSupplier deadlinePassed, StreamEventPublisher streamEvents) {
        this.requestId = requestId;
        this.host = host;
        this.deadlinePassed = deadlinePassed;
        this.streamEvents = streamEvents;
    }

    CompletableFuture<CallerResponse> response() {
        return response;
    }

    @Override
    public void streamEvent(long number, byte[] event, List<String> path) {
        startStream(io.vavr.collection.List.ofAll(path).prepend(host).asJava());
        streamEvents.add(event);
    }

    @Override
    public void finish(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered && answered.answer().streamed()) {
            startStream(answered.path());
            streamEvents.add(STREAM_END_EVENT);
            streamEvents.complete();
        } else if (response.isDone()) {
            streamEvents.abort();
        } else {
            response.complete(CallerResponses.of(requestId, outcome, deadlinePassed.getAsBoolean()));
        }
    }

    /** Completes the response and aborts the stream after the caller disconnected, which releases their resources. */
    void abandon() {
        Failure failure = Failure.of(Step.ACCEPT, host, "the caller disconnected");
        response.complete(CallerResponses.of(requestId, new Outcome.Unknown(failure), false));
        streamEvents.abort();
    }

    private void startStream(List<String> path) {
        if (!response.isDone()) {
            response.complete(CallerResponses.streamHeaders(requestId, path));
        }
    }
}
