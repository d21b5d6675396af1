package org.rattanplank.gateway.pass;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.rattanplank.core.gateway.Choice;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.SentWork;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.gateway.target.Attempt;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;
import org.rattanplank.gateway.target.TargetCall;

/**
 * A request at a target of the own region, accounted for from its sending to its end.
 *
 * <p>Invariant: what it reserves at the target is given back once. Confined to the event loop.
 */
final class LocalSend implements Attempt, AttemptListener {
    private final GatewayState state;
    private final GatewayTarget target;
    private final ServiceRule service;
    private final AttemptListener listener;
    private final long sentAtMillis;
    private final int ahead;
    private final double expectedTokens;
    private SentWork reserved;
    private boolean started;
    private boolean success;
    private boolean over;
    private Attempt attempt;

    private LocalSend(
            GatewayState state, Choice choice, ServiceRule service, TargetCall call, AttemptListener listener) {
        this.state = state;
        this.target = choice.target();
        this.service = service;
        this.listener = listener;
        sentAtMillis = state.nowMillis();
        ahead = target.all().requests();
        expectedTokens = target.all().waitingTokens()
                + target.uncachedTokens(call.request().work());
        reserved = target.reserve(call.request().work(), service.memoryTokens(), sentAtMillis);
    }

    static Attempt send(
            GatewayState state,
            Choice choice,
            ServiceRule service,
            TargetCall call,
            boolean once,
            AttemptListener listener) {
        LocalSend send = new LocalSend(state, choice, service, call, listener);
        send.attempt = state.connections().send(choice.target(), call, once, send);
        return send;
    }

    @Override
    public String to() {
        return target.id();
    }

    @Override
    public void cancel() {
        over();
        attempt.cancel();
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        success = status < HttpResponseStatus.BAD_REQUEST.code();
        listener.head(status, headers);
    }

    @Override
    public void content(ByteBuf bytes) {
        if (!started && !over) {
            started = true;
            reserved = target.started(reserved);
            if (success && service.isModel()) {
                state.chooser()
                        .model(service.name())
                        .firstEventTook(expectedTokens, state.nowMillis() - (double) sentAtMillis);
            }
        }
        listener.content(bytes);
    }

    @Override
    public void ended() {
        if (success && !service.isModel()) {
            state.chooser()
                    .model(service.name())
                    .answerTook(ahead, target.slots(), state.nowMillis() - (double) sentAtMillis);
        }
        over();
        listener.ended();
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        over();
        listener.failed(failure, reason);
    }

    private void over() {
        if (!over) {
            over = true;
            target.release(reserved);
        }
    }
}
