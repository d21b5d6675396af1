package org.rattanplank.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Future;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.response.StatusCode;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.RelayResult;
import org.rattanplank.schema.message.ForwardChunk;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardHead;
import org.rattanplank.schema.message.RequestMessage;

/**
 * Assembles the response of one forwarded request as its messages arrive.
 *
 * <p>Invariant: a response is complete only with its end message and every chunk before it. Guarded by its own monitor,
 * since a link's event loop and a worker may call it concurrently.
 */
final class ForwardAttempt {
    private static final String EVENT_STREAM = "text/event-stream";

    private final Call call;
    private final int attempt;
    private final String host;
    private final int maxResponseBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Option<ForwardHead> headers = Option.none();
    private Option<Future<?>> deadlineTimer = Option.none();
    private long chunksReceived;
    private boolean writeStarted;

    ForwardAttempt(Call call, int attempt, String host, int maxResponseBytes) {
        this.call = call;
        this.attempt = attempt;
        this.host = host;
        this.maxResponseBytes = maxResponseBytes;
    }

    String host() {
        return host;
    }

    Call call() {
        return call;
    }

    synchronized void setDeadlineTimer(Future<?> timer) {
        deadlineTimer = Option.some(timer);
    }

    synchronized void cancelDeadlineTimer() {
        deadlineTimer.forEach(timer -> timer.cancel(false));
    }

    synchronized void markWriteStarted() {
        writeStarted = true;
    }

    synchronized boolean isWriteStarted() {
        return writeStarted;
    }

    /** Handles a message of the response; returns a result once the attempt has ended. */
    synchronized Option<AttemptResult> receive(RequestMessage message) {
        if (message instanceof ForwardHead first) {
            headers = Option.some(first);
            return Option.when(!StatusCode.isValid(first.status()), () -> lost("the response has an invalid status"));
        } else if (message instanceof ForwardChunk chunk) {
            return receive(chunk);
        } else if (message instanceof ForwardEnd end) {
            return Option.some(resultOf(end));
        }
        return Option.none();
    }

    synchronized AttemptResult lost(String reason) {
        return new AttemptResult.Lost(Failure.of(Step.FORWARD, host, reason), call.streamEventsRelayed());
    }

    AttemptResult notRun(String reason) {
        return new AttemptResult.NotRun(Failure.of(Step.FORWARD, host, reason), 0);
    }

    private Option<AttemptResult> receive(ForwardChunk chunk) {
        if (chunk.number() != chunksReceived || headers.isEmpty()) {
            return Option.some(lost("chunks of the response are missing"));
        }
        chunksReceived++;
        if (!isStream()) {
            body.writeBytes(chunk.body());
            return body.size() > maxResponseBytes
                    ? Option.some(lost("the response exceeds the size limit"))
                    : Option.none();
        }
        RelayResult relayed = call.relay(attempt, chunk.number(), chunk.body(), path());
        return relayed == RelayResult.GAP ? Option.some(lost("events of the stream are missing")) : Option.none();
    }

    private List<String> path() {
        String target = headers.map(ForwardHead::target).getOrElse("");
        return target.isEmpty() ? List.of(host) : List.of(host, target);
    }

    private boolean isStream() {
        return headers.exists(first -> first.contentType().startsWith(EVENT_STREAM));
    }

    private AttemptResult resultOf(ForwardEnd end) {
        return switch (end.outcome()) {
            case "answered" -> completeResult(end);
            case "not run" -> new AttemptResult.NotRun(failureOf(end), end.retryAfterMillis());
            default -> new AttemptResult.Lost(failureOf(end), call.streamEventsRelayed());
        };
    }

    private AttemptResult completeResult(ForwardEnd end) {
        if (headers.isEmpty() || end.chunks() != chunksReceived) {
            return lost("the response is incomplete");
        }
        ForwardHead first = headers.get();
        Answer response = isStream()
                ? Answer.ofStream((int) first.status(), first.contentType())
                : Answer.of((int) first.status(), first.contentType(), body.toByteArray());
        return new AttemptResult.Completed(response, end.target().isEmpty() ? List.of() : List.of(end.target()));
    }

    private Failure failureOf(ForwardEnd end) {
        Step step =
                Try.of(() -> Step.valueOf(end.step().toUpperCase(Locale.ROOT))).getOrElse(Step.FORWARD);
        return Failure.of(step, end.peer().isEmpty() ? host : end.peer(), end.reason());
    }
}
