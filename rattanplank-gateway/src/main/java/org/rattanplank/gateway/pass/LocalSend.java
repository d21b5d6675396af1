package org.rattanplank.gateway.pass;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.rattanplank.core.gateway.Choice;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.LatencyModel;
import org.rattanplank.core.gateway.SentWork;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.Work;
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
    private final Work work;
    private final double expectedTokens;
    private final double expectedRoomMillis;
    private SentWork reserved;
    private boolean started;
    private long startedAtMillis;
    private long lastPartAtMillis;
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
        work = call.work();
        expectedTokens = target.tokensAhead(work);
        expectedRoomMillis = service.isModel() ? state.chooser().roomMillis(target, service, work) : 0;
        reserved = target.reserve(work, service.memoryTokens(), sentAtMillis);
    }

    static Attempt send(
            GatewayState state,
            Choice choice,
            ServiceRule service,
            TargetCall call,
            boolean once,
            AttemptListener listener) {
        LocalSend send = new LocalSend(state, choice, service, call, listener);
        send.attempt = state.connections().send(choice, call, once, send);
        return send;
    }

    @Override
    public String to() {
        return target.runText();
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
        notePace();
        if (!started && !over) {
            started = true;
            reserved = target.started(reserved);
            if (success && service.isModel()) {
                startedAtMillis = state.nowMillis();
                model().firstEventTook(
                                expectedTokens,
                                work.urgency(),
                                startedAtMillis - sentAtMillis - expectedRoomMillis,
                                startedAtMillis);
            }
        }
        listener.content(bytes);
    }

    @Override
    public void ended() {
        if (success && service.isModel()) {
            model().generationTook(state.nowMillis() - (double) startedAtMillis);
        } else if (success) {
            model().answerTook(ahead, target.slots(), state.nowMillis() - (double) sentAtMillis);
        }
        over();
        listener.ended();
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        over();
        listener.failed(failure, reason);
    }

    private void notePace() {
        long now = state.nowMillis();
        if (started && service.isModel()) {
            target.eventAfter(now - (double) lastPartAtMillis, now);
        }
        lastPartAtMillis = now;
    }

    private LatencyModel model() {
        return state.chooser().model(service.name());
    }

    private void over() {
        if (!over) {
            over = true;
            target.release(reserved);
        }
    }
}
