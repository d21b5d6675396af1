package org.rattanplank.daemon.target;

import java.util.Date;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.response.RetryAfter;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.RelayResult;
import org.rattanplank.daemon.http.Exchange;
import org.rattanplank.daemon.http.ExchangeClient;
import org.rattanplank.daemon.http.ExchangeListener;
import org.rattanplank.daemon.http.ResponseBuffer;

/**
 * Runs one attempt at a target: sends the request, checks that the response is complete and belongs to the request, and
 * relays stream events.
 *
 * <p>Invariants: it ends once, with a result or by cancellation; no byte of a response with another request identifier
 * is relayed; a stream is complete only with its closing event. Confined to the event loop of its exchange.
 */
final class TargetAttempt implements ExchangeListener {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final String EVENT_STREAM = "text/event-stream";

    private final EventLoop loop;
    private final Call call;
    private final int attempt;
    private final TargetCall targetCall;
    private final AttemptLimits limits;
    private final TargetCheck check;
    private final AttemptListener listener;
    private final SseParser parser;
    private final ResponseBuffer body;
    private Option<Exchange> exchange = Option.none();
    private Option<Future<?>> overdueTimer = Option.none();
    private Option<Future<?>> deadlineTimer = Option.none();
    private int status;
    private String contentType = "";
    private long retryAfterMillis;
    private boolean rejectedBeforeExecution;
    private boolean streaming;
    private boolean closingEventSeen;
    private long receivedCount;
    private boolean checkingForCrash;
    private boolean finished;

    TargetAttempt(
            EventLoop loop,
            Call call,
            int attempt,
            TargetCall targetCall,
            AttemptLimits limits,
            TargetCheck check,
            AttemptListener listener) {
        this.loop = loop;
        this.call = call;
        this.attempt = attempt;
        this.targetCall = targetCall;
        this.limits = limits;
        this.check = check;
        this.listener = listener;
        body = limits.memory().newBuffer();
        parser = new SseParser(limits.maxStreamEventBytes(), limits.memory().newBuffer());
    }

    Call call() {
        return call;
    }

    TargetCall targetCall() {
        return targetCall;
    }

    /** Starts the attempt, which ends as lost after the given timeout; may be called on any thread. */
    void start(ExchangeClient exchangeClient, long timeoutMillis) {
        loop.execute(() -> {
            if (finished) {
                return;
            }
            exchange = Option.some(exchangeClient.start(loop, targetCall.exchangeRequest(), this));
            deadlineTimer = Option.some(loop.schedule(this::expire, timeoutMillis, TimeUnit.MILLISECONDS));
            scheduleOverdueCheck();
        });
    }

    /** Cancels the attempt, which then has no result; may be called on any thread. */
    void cancel() {
        loop.execute(() -> {
            finished = true;
            close();
        });
    }

    @Override
    public void headersReceived(int responseStatus, HttpHeaders headers) {
        receivedCount++;
        status = responseStatus;
        contentType = Option.of(headers.get(HttpHeaderNames.CONTENT_TYPE)).getOrElse("");
        // The target, or a proxy in front of it, may send the response of another request. Symptom: a caller receives
        // another caller's data. Comparing the echoed identifier before any byte is relayed prevents this.
        if (!targetCall.sentId().equals(headers.get(TargetCall.REQUEST_ID))) {
            endAsLost("the response carries another request identifier");
            return;
        }
        if (isTrue(headers, "X-Leaving")) {
            listener.targetLeaving();
        }
        Option<Long> pauseMillis = RetryAfter.readMillis(
                headers.getAll(HttpHeaderNames.RETRY_AFTER),
                headers.get(HttpHeaderNames.DATE),
                text -> Option.of(DateFormatter.parseHttpDate(text)).map(Date::getTime));
        retryAfterMillis = pauseMillis.getOrElse(0L);
        rejectedBeforeExecution = (status == TOO_MANY_REQUESTS || status == UNAVAILABLE)
                && isTrue(headers, "X-Not-Run")
                && !targetCall.isResumed();
        if (status == UNAVAILABLE || rejectedBeforeExecution) {
            pauseMillis.forEach(listener::pauseRequested);
        }
        streaming = status == OK && contentType.startsWith(EVENT_STREAM);
        if (targetCall.isResumed() && !streaming) {
            endAsLost("the target cannot resume the stream");
            return;
        }
        scheduleOverdueCheck();
    }

    @Override
    public void contentReceived(byte[] bytes) {
        if (finished) {
            return;
        }
        receivedCount++;
        if (!streaming) {
            if (body.size() + bytes.length > limits.maxResponseBytes()) {
                endAsLost("the response exceeds the size limit");
            } else if (!body.tryAppend(bytes)) {
                endAsLost("no memory is left for the response");
            }
            return;
        }
        List<SseEvent> events = parser.feed(bytes);
        for (SseEvent event : events) {
            if (finished || closingEventSeen) {
                return;
            }
            relayEvent(event);
        }
        if (!finished) {
            parser.overflow().forEach(this::endAsLost);
        }
        scheduleOverdueCheck();
    }

    @Override
    public void ended() {
        if (finished) {
            return;
        }
        if (rejectedBeforeExecution) {
            Failure failure = failure(Step.SEND, "the target rejected the request before executing it");
            end(new AttemptResult.NotRun(failure, retryAfterMillis));
        } else if (!streaming) {
            end(new AttemptResult.Completed(Answer.of(status, contentType, body.take()), List.of()));
        } else if (closingEventSeen) {
            end(new AttemptResult.Completed(Answer.ofStream(status, contentType), List.of()));
        } else {
            checkForCrash("the stream ended without its closing event");
        }
    }

    @Override
    public void failed(boolean handedOver, String reason) {
        if (finished) {
            return;
        }
        if (!handedOver && !targetCall.isResumed()) {
            end(new AttemptResult.NotRun(failure(Step.CONNECT, reason), 0));
        } else if (closingEventSeen) {
            end(new AttemptResult.Completed(Answer.ofStream(status, contentType), List.of()));
        } else {
            checkForCrash(reason);
        }
    }

    /** Ends the attempt as lost once it is known whether the target has crashed: it may be because of this request. */
    private void checkForCrash(String reason) {
        if (checkingForCrash) {
            return;
        }
        checkingForCrash = true;
        check.refusesConnections(targetCall.target().name())
                .exceptionally(cause -> false)
                .thenAccept(refused -> loop.execute(() -> {
                    if (!finished) {
                        endAsLost(reason, refused);
                    }
                }));
    }

    private void expire() {
        if (!finished) {
            endAsLost("no complete response within the deadline");
        }
    }

    private void relayEvent(SseEvent event) {
        if (event.done()) {
            closingEventSeen = true;
            return;
        }
        if (event.number() == SseEvent.NO_NUMBER) {
            endAsLost("a stream event carries no number");
            return;
        }
        RelayResult relayed = call.relay(
                attempt,
                event.number(),
                event.raw(),
                List.of(targetCall.target().name()));
        if (relayed == RelayResult.PASSED_ON) {
            listener.progressed(event.number() + 1);
        } else if (relayed == RelayResult.GAP) {
            endAsLost("events of the stream are missing");
        } else if (relayed == RelayResult.STALE) {
            finished = true;
            close();
        }
    }

    /** Schedules the check of the connection, again after each received chunk of the response. */
    private void scheduleOverdueCheck() {
        overdueTimer.forEach(timer -> timer.cancel(false));
        if (finished) {
            return;
        }
        long previousCount = receivedCount;
        overdueTimer = Option.some(
                loop.schedule(() -> checkConnection(previousCount), overdueMillis(), TimeUnit.MILLISECONDS));
    }

    private long overdueMillis() {
        boolean eventsDelivered = streaming && call.streamEventsRelayed() > targetCall.resumeAtEvent();
        return limits.overdue().thresholdMillis(targetCall.model(), eventsDelivered || targetCall.isResumed());
    }

    /**
     * Checks an overdue connection against a new one. A connection can become unresponsive permanently while new ones
     * work, because a middlebox has dropped its state; symptom: requests end only at their deadline. If a new
     * connection to the same target works while this one still receives nothing, the attempt ends as lost.
     */
    private void checkConnection(long previousCount) {
        if (finished || checkingForCrash || receivedCount != previousCount) {
            return;
        }
        check.respondsOnNewConnection(targetCall.target().name())
                .thenAccept(responds -> loop.execute(() -> handleCheckResult(previousCount, responds)));
    }

    private void handleCheckResult(long previousCount, boolean responds) {
        if (finished || receivedCount != previousCount) {
            return;
        }
        if (responds) {
            endAsLost("the connection is unresponsive while new ones work");
            return;
        }
        scheduleOverdueCheck();
    }

    private void endAsLost(String reason) {
        endAsLost(reason, false);
    }

    private void endAsLost(String reason, boolean targetCrashed) {
        end(new AttemptResult.Lost(failure(Step.RECEIVE, reason), call.streamEventsRelayed(), targetCrashed));
    }

    private void end(AttemptResult result) {
        finished = true;
        call.endAttempt(attempt);
        close();
        listener.ended(result);
    }

    private void close() {
        overdueTimer.forEach(timer -> timer.cancel(false));
        deadlineTimer.forEach(timer -> timer.cancel(false));
        exchange.forEach(Exchange::close);
        body.clear();
        parser.close();
    }

    private Failure failure(Step step, String reason) {
        return Failure.of(step, targetCall.target().name(), reason);
    }

    private static boolean isTrue(HttpHeaders headers, String name) {
        return "true".equalsIgnoreCase(headers.get(name));
    }
}
