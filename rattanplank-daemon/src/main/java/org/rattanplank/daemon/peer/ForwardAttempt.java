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
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Relayed;
import org.rattanplank.schema.message.ForwardChunk;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardHead;
import org.rattanplank.schema.message.RequestMessage;

/**
 * The answer of one forwarded request as it comes.
 *
 * <p>Invariant: it is whole only with its end and every part before it. Guarded by its own monitor, since a link's event
 * loop and a worker may meet here.
 */
final class ForwardAttempt {
    private static final String EVENT_STREAM = "text/event-stream";

    private final Call call;
    private final int attempt;
    private final String host;
    private final int maxAnswerBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Option<ForwardHead> head = Option.none();
    private Option<Future<?>> deadline = Option.none();
    private long parts;
    private boolean handedOver;

    ForwardAttempt(Call call, int attempt, String host, int maxAnswerBytes) {
        this.call = call;
        this.attempt = attempt;
        this.host = host;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    String host() {
        return host;
    }

    Call call() {
        return call;
    }

    synchronized void endBy(Future<?> timer) {
        deadline = Option.some(timer);
    }

    synchronized void stopTimer() {
        deadline.forEach(timer -> timer.cancel(false));
    }

    synchronized void handOver() {
        handedOver = true;
    }

    synchronized boolean isHandedOver() {
        return handedOver;
    }

    /** Takes a message of the answer; the result is there once the attempt has ended. */
    synchronized Option<AttemptResult> take(RequestMessage message) {
        if (message instanceof ForwardHead first) {
            head = Option.some(first);
            return Option.none();
        } else if (message instanceof ForwardChunk chunk) {
            return take(chunk);
        } else if (message instanceof ForwardEnd end) {
            return Option.some(resultOf(end));
        }
        return Option.none();
    }

    synchronized AttemptResult lost(String reason) {
        return new AttemptResult.Lost(Failure.of(Step.FORWARD, host, reason), call.partsPassedOn());
    }

    AttemptResult notRun(String reason) {
        return new AttemptResult.NotRun(Failure.of(Step.FORWARD, host, reason), 0);
    }

    private Option<AttemptResult> take(ForwardChunk chunk) {
        if (chunk.number() != parts || head.isEmpty()) {
            return Option.some(lost("parts of the answer are missing"));
        }
        parts++;
        if (!isStream()) {
            body.writeBytes(chunk.body());
            return body.size() > maxAnswerBytes
                    ? Option.some(lost("the answer is larger than the limit"))
                    : Option.none();
        }
        Relayed relayed = call.relay(attempt, chunk.number(), chunk.body(), path());
        return relayed == Relayed.GAP ? Option.some(lost("parts of the stream are missing")) : Option.none();
    }

    private List<String> path() {
        String target = head.map(ForwardHead::target).getOrElse("");
        return target.isEmpty() ? List.of(host) : List.of(host, target);
    }

    private boolean isStream() {
        return head.exists(first -> first.contentType().startsWith(EVENT_STREAM));
    }

    private AttemptResult resultOf(ForwardEnd end) {
        return switch (end.outcome()) {
            case "answered" -> whole(end);
            case "not run" -> new AttemptResult.NotRun(failureOf(end), end.retryAfterMillis());
            default -> new AttemptResult.Lost(failureOf(end), call.partsPassedOn());
        };
    }

    private AttemptResult whole(ForwardEnd end) {
        if (head.isEmpty() || end.chunks() != parts) {
            return lost("the answer is not whole");
        }
        ForwardHead first = head.get();
        Answer answer = isStream()
                ? Answer.ofStream((int) first.status(), first.contentType())
                : Answer.of((int) first.status(), first.contentType(), body.toByteArray());
        return new AttemptResult.Whole(answer, end.target().isEmpty() ? List.of() : List.of(end.target()));
    }

    private Failure failureOf(ForwardEnd end) {
        Step step =
                Try.of(() -> Step.valueOf(end.step().toUpperCase(Locale.ROOT))).getOrElse(Step.FORWARD);
        return Failure.of(step, end.peer().isEmpty() ? host : end.peer(), end.reason());
    }
}
