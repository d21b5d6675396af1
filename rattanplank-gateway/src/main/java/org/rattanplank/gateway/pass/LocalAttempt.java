package org.rattanplank.gateway.pass;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.InFlightRequest;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.gateway.target.Attempt;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;
import org.rattanplank.gateway.target.TargetCall;

/**
 * An attempt at a target of this region, with its accounting from the send to its end.
 *
 * <p>Invariant: the accounting records each chunk and exactly one end. Confined to the event loop.
 */
final class LocalAttempt implements Attempt, AttemptListener {
    private final GatewayState state;
    private final GatewayTarget target;
    private final AttemptListener listener;
    private final InFlightRequest sentRequest;
    private boolean success;
    private Attempt attempt;

    private LocalAttempt(
            GatewayState state, TargetChoice choice, ServiceRule service, TargetCall call, AttemptListener listener) {
        this.state = state;
        this.target = choice.target();
        this.listener = listener;
        sentRequest = InFlightRequest.of(state.chooser(), choice, service, call.work(), state.nowMillis());
    }

    static Attempt send(
            GatewayState state,
            TargetChoice choice,
            ServiceRule service,
            TargetCall call,
            boolean once,
            AttemptListener listener) {
        LocalAttempt localAttempt = new LocalAttempt(state, choice, service, call, listener);
        if (localAttempt.sentRequest.isLargePrefill()) {
            state.notifyLargePrefill(choice.target());
        }
        localAttempt.attempt = state.connections().send(choice, call, once, localAttempt);
        return localAttempt;
    }

    @Override
    public String destination() {
        return target.incarnationText();
    }

    @Override
    public void cancel() {
        sentRequest.release();
        attempt.cancel();
    }

    @Override
    public void headersReceived(int status, HttpHeaders headers) {
        success = status < HttpResponseStatus.BAD_REQUEST.code();
        listener.headersReceived(status, headers);
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
        sentRequest.recordEvent(success, state.nowMillis());
        listener.contentReceived(bytes);
    }

    @Override
    public void completed() {
        sentRequest.recordEnd(success, state.nowMillis());
        listener.completed();
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        sentRequest.release();
        listener.failed(failure, reason);
    }
}
