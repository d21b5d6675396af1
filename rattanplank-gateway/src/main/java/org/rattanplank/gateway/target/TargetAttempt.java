package org.rattanplank.gateway.target;

import java.util.Date;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.response.BodyFraming;
import org.rattanplank.core.response.Completeness;
import org.rattanplank.core.response.ResponseBody;
import org.rattanplank.core.response.RetryAfter;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.http.Headers;

/**
 * One attempt of a request at one target.
 *
 * <p>Invariant: the request counts as not sent only until it is handed to a connection. Confined to the event loop.
 */
final class TargetAttempt implements Attempt {
    private static final String EVENT_STREAM = HttpHeaderValues.TEXT_EVENT_STREAM.toString();

    private static final int UNAVAILABLE = HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    private static final int MISDIRECTED = HttpResponseStatus.MISDIRECTED_REQUEST.code();

    private static final String LEAVING = "1";

    /** How long this host sends nothing to a target that has reported no capacity, while others may have some. */
    private static final long FULL_TARGET_PAUSE_MILLIS = 50;

    /** Larger rates than this are no limit of any target. */
    private static final double MAX_RATE_LIMIT_PER_SECOND = 1_000_000;

    private final GatewayTarget target;
    private final Option<TargetEntry> transferSource;
    private final TargetCall call;
    private final HeaderNames names;
    private final AttemptListener listener;
    private final MonotonicClock clock;
    private Channel connectingChannel;
    private TargetConnection connection;
    private ResponseBody body;

    /** The number of the request in its target's process, once it is handed to a connection. */
    private Option<Long> sentNumber = Option.none();

    private boolean finished;

    TargetAttempt(
            TargetChoice choice, TargetCall call, HeaderNames names, AttemptListener listener, MonotonicClock clock) {
        target = choice.target();
        transferSource = choice.transferSource();
        this.call = call;
        this.names = names;
        this.listener = listener;
        this.clock = clock;
    }

    @Override
    public String destination() {
        return target.incarnationText();
    }

    @Override
    public void cancel() {
        if (finished) {
            return;
        }
        finish();
        if (connection != null) {
            connection.close();
        } else if (connectingChannel != null) {
            connectingChannel.close();
        }
    }

    String requestId() {
        return call.request().id();
    }

    boolean isHeadRequest() {
        return call.request().method().equals(HttpMethod.HEAD.name());
    }

    void connectStarted(Channel channel) {
        connectingChannel = channel;
    }

    void connected(TargetConnection opened) {
        if (finished) {
            opened.close();
            return;
        }
        connection = opened;
        sentNumber = Option.some(target.process().requestSent());
        connection.send(this, buildMessage());
    }

    void connectFailed(Throwable cause) {
        if (finished) {
            return;
        }
        target.recordUnreachable(clock.nowMillis());
        failed(AttemptFailure.NOT_SENT, "connection failed: " + cause.getMessage());
    }

    void dataReceived() {
        target.recordActivity(clock.nowMillis());
    }

    void headersReceived(int status, HttpHeaders headers, BodyFraming framing) {
        if (finished) {
            return;
        }
        String contentType = headers.get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
        body = ResponseBody.of(framing, contentType.startsWith(EVENT_STREAM));
        if (framing == BodyFraming.CLOSE_DELIMITED) {
            sentNumber.forEach(target.process()::closeDelimited);
        }
        if (status == MISDIRECTED) {
            target.markLeaving();
            failed(AttemptFailure.REFUSED, "another target has this address");
            return;
        }
        boolean notExecuted = headers.contains(names.notExecuted());
        readLeaving(headers);
        readRateLimit(headers.getAll(names.rateLimit()), notExecuted);
        Option<Long> pauseMillis = notExecuted || status == UNAVAILABLE ? readPause(headers) : Option.none();
        if (notExecuted) {
            target.backOff(FULL_TARGET_PAUSE_MILLIS, clock.nowMillis());
            // The body may never end, and has nothing that its caller could use.
            failed(
                    AttemptFailure.REFUSED,
                    pauseMillis
                            .map(millis -> "target has requested a pause of " + millis + " ms")
                            .getOrElse("target has no capacity"));
            return;
        }
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            target.recordFailure(clock.nowMillis());
        } else {
            target.recordSuccess(clock.nowMillis());
        }
        listener.headersReceived(status, headers);
    }

    /** A target may say that it leaves before its entry does, and while the store is out only its answers do. */
    private void readLeaving(HttpHeaders headers) {
        if (!target.isLeaving() && headers.containsValue(names.leaving(), LEAVING, false)) {
            target.markLeaving();
            listener.targetLeaving();
        }
    }

    private Option<Long> readPause(HttpHeaders headers) {
        Option<Long> pauseMillis = RetryAfter.readMillis(
                headers.getAll(HttpHeaderNames.RETRY_AFTER),
                headers.get(HttpHeaderNames.DATE),
                text -> Option.of(DateFormatter.parseHttpDate(text)).map(Date::getTime));
        pauseMillis
                .filter(millis -> target.requestPause(millis, clock.nowMillis()))
                .forEach(listener::pauseRequested);
        return pauseMillis;
    }

    /** Reads the named limit; a rejection without one doesn't tell that the limit has ended. */
    private void readRateLimit(List<String> values, boolean rejection) {
        if (values.isEmpty()) {
            if (!rejection) {
                updateRateLimit(Option.none());
            }
            return;
        }
        Option<Double> perSecond = values.size() == 1
                ? Try.of(() -> Double.parseDouble(values.get(0).trim()))
                        .toOption()
                        .filter(rate -> rate >= 0 && rate <= MAX_RATE_LIMIT_PER_SECOND)
                : Option.none();
        if (perSecond.isDefined()) {
            updateRateLimit(perSecond);
        } else if (target.recordInvalidRateLimit()) {
            listener.rateLimitInvalid(String.join(", ", values));
        }
    }

    private void updateRateLimit(Option<Double> perSecond) {
        if (target.updateRateLimit(perSecond, clock.nowMillis())) {
            listener.rateLimitChanged(perSecond);
        }
    }

    void responseUnusable(ResponseDefect defect, String detail, String previousRequestId) {
        if (!finished) {
            listener.responseUnusable(defect, detail, previousRequestId);
        }
    }

    void contentReceived(ByteBuf bytes) {
        if (finished) {
            return;
        }
        if (body.dependsOnBytes()) {
            bytes.forEachByte(each -> {
                body.append(each);
                return true;
            });
        }
        listener.contentReceived(bytes);
    }

    void ended() {
        if (finished) {
            return;
        }
        Completeness completeness = body.atEnd();
        if (completeness == Completeness.COMPLETE) {
            finish();
            listener.completed();
        } else {
            finishInterrupted();
            listener.endedByConnection(completeness);
        }
    }

    private void finish() {
        finished = true;
        sentNumber.forEach(target.process()::requestEnded);
    }

    private void finishInterrupted() {
        finished = true;
        sentNumber.forEach(number -> target.process().requestInterrupted(number, clock.nowMillis()));
    }

    boolean isFinished() {
        return finished;
    }

    /** Ends it before it is sent, as the target may receive nothing any more. */
    void withdrawn(String reason) {
        failed(AttemptFailure.NOT_SENT, reason);
    }

    /** Fails it because its connection has ended. */
    void interrupted(String reason) {
        if (!finished) {
            finishInterrupted();
            reportFailure(AttemptFailure.UNKNOWN, reason);
        }
    }

    void failed(AttemptFailure failure, String reason) {
        if (!finished) {
            finish();
            reportFailure(failure, reason);
        }
    }

    private void reportFailure(AttemptFailure failure, String reason) {
        if (failure.mayHaveRun()) {
            target.recordFailure(clock.nowMillis());
        }
        listener.failed(failure, reason);
    }

    private FullHttpRequest buildMessage() {
        GatewayRequest request = call.request();
        HttpHeaders headers = Headers.unchecked().add(request.headers());
        headers.set(names.timeoutMillis(), Long.toString(Math.max(1, call.remainingMillis())));
        headers.set(names.expectedTarget(), target.id());
        headers.set(names.urgency(), Integer.toString(call.work().urgency().level()));
        transferSource.forEach(from -> headers.set(names.transferSource(), address(from)));
        call.backup().forEach(backup -> headers.set(names.backup(), address(backup.entry())));
        if (call.failover()) {
            headers.set(names.continuedFrom(), address(target.entry()) + '/' + request.id());
        }
        if (!call.lastEventId().isEmpty()) {
            headers.set(names.lastEventId(), call.lastEventId());
        }
        if (request.body().length > 0 || mayHaveBody(request.method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private static String address(TargetEntry target) {
        return target.ip() + ':' + target.port();
    }

    private static boolean mayHaveBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }
}
