package org.rattanplank.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.Choice;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.gateway.SteadyClock;
import org.rattanplank.gateway.http.Headers;

/**
 * One request at one target.
 *
 * <p>Invariant: it counts as not sent only until it is handed to a connection. Confined to the event loop.
 */
final class TargetAttempt implements Attempt {
    private static final int MISDIRECTED = HttpResponseStatus.MISDIRECTED_REQUEST.code();

    /** What a target without room gets from here while others may have some. */
    private static final long FULL_PAUSE_MILLIS = 50;

    private final GatewayTarget target;
    private final Option<GatewayTarget> source;
    private final TargetCall call;
    private final HeaderNames names;
    private final AttemptListener listener;
    private final SteadyClock clock;
    private Channel connecting;
    private TargetConnection connection;
    private boolean refused;
    private boolean over;

    TargetAttempt(Choice choice, TargetCall call, HeaderNames names, AttemptListener listener, SteadyClock clock) {
        target = choice.target();
        source = choice.source();
        this.call = call;
        this.names = names;
        this.listener = listener;
        this.clock = clock;
    }

    @Override
    public String to() {
        return target.runText();
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        over = true;
        if (connection != null) {
            connection.drop();
        } else if (connecting != null) {
            connecting.close();
        }
    }

    String requestId() {
        return call.request().id();
    }

    boolean isHeadRequest() {
        return call.request().method().equals(HttpMethod.HEAD.name());
    }

    void connecting(Channel channel) {
        connecting = channel;
    }

    void start(TargetConnection opened) {
        if (over) {
            opened.drop();
            return;
        }
        connection = opened;
        connection.send(this, message());
    }

    void notConnected(Throwable cause) {
        if (over) {
            return;
        }
        target.unreachable(clock.nowMillis());
        failed(AttemptFailure.NOT_SENT, "no connection: " + cause.getMessage());
    }

    void heard() {
        target.heard(clock.nowMillis());
    }

    void head(int status, HttpHeaders headers) {
        if (over) {
            return;
        }
        if (status == MISDIRECTED || headers.contains(names.refused())) {
            refused = true;
            if (status == MISDIRECTED) {
                target.leave();
            } else {
                target.full(FULL_PAUSE_MILLIS, clock.nowMillis());
            }
            return;
        }
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            target.failed(clock.nowMillis());
        } else {
            target.succeeded();
        }
        listener.head(status, headers);
    }

    void content(ByteBuf bytes) {
        if (!over && !refused) {
            listener.content(bytes);
        }
    }

    void ended() {
        if (over) {
            return;
        }
        if (refused) {
            failed(AttemptFailure.REFUSED, target.isLeaving() ? "another target has the address" : "no room");
            return;
        }
        over = true;
        listener.ended();
    }

    void failed(AttemptFailure failure, String reason) {
        if (over) {
            return;
        }
        over = true;
        if (failure.mayHaveRun()) {
            target.failed(clock.nowMillis());
        }
        listener.failed(failure, reason);
    }

    private FullHttpRequest message() {
        GatewayRequest request = call.request();
        HttpHeaders headers = Headers.unchecked().add(request.headers());
        headers.set(names.timeoutMillis(), Long.toString(Math.max(1, call.remainingMillis())));
        headers.set(names.expectedTarget(), target.id());
        headers.set(names.urgency(), Integer.toString(call.work().urgency().level()));
        source.map(GatewayTarget::entry).forEach(from -> headers.set(names.copyFrom(), from.ip() + ':' + from.port()));
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

    private static boolean mayHaveBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }
}
