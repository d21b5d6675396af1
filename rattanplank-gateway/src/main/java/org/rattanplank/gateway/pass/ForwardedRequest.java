package org.rattanplank.gateway.pass;

import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.rattanplank.core.account.GatewayAccount;
import org.rattanplank.core.gateway.ForwardDelay;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.Mechanism;
import org.rattanplank.core.gateway.MemoryBudget;
import org.rattanplank.core.gateway.PlacementRequest;
import org.rattanplank.core.gateway.RequestDuration;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.WeightedService;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.log.RequestLog;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.target.Attempt;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;
import org.rattanplank.gateway.target.TargetCall;

/**
 * A request forwarded by another host, which is served in this region or rejected.
 *
 * <p>Invariants: it reaches at most one target and is never forwarded again; only the other host decides on retries, as
 * only it knows all attempts; it ends when its response arrives faster than its link takes it, before that fills the
 * memory. Confined to the event loop.
 */
public final class ForwardedRequest implements AttemptListener {
    private static final int MAX_FAILED_BEFORE_SEND = 3;

    private static final String STOPPING_REASON = "this host is stopping";

    /** The most bytes of one response that wait for its link. */
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    private final GatewayState state;
    private final PeerLink link;
    private final PeerFrame.CallRequest frame;
    private final GatewayRequest request;
    private final String backup;
    private final RequestLog requestLog;
    private final Runnable onFinished;
    private final Work work;
    private final Set<String> excluded;
    private final long deadlineMillis;
    private final long acceptedAtMillis;
    private Attempt attempt;
    private String target = "";
    private double expectedMillis;
    private long firstChunkAtMillis;
    private int failedBeforeSend;
    private long unsentBytes;
    private boolean finished;

    /**
     * Accepts a forwarded request.
     *
     * @param state the state that all requests share
     * @param link the link it arrived on
     * @param frame the frame received
     * @param request the request to send to a target
     * @param backup the target at whose backup a stream is to be continued, empty for a new request
     * @param onFinished run once when it is finished
     */
    public ForwardedRequest(
            GatewayState state,
            PeerLink link,
            PeerFrame.CallRequest frame,
            GatewayRequest request,
            String backup,
            Runnable onFinished) {
        this.state = state;
        this.link = link;
        this.frame = frame;
        this.request = request;
        this.backup = backup;
        this.onFinished = onFinished;
        excluded = new HashSet<>(frame.excludedTargets());
        requestLog = new RequestLog(state.log(), frame.requestId());
        acceptedAtMillis = state.nowMillis();
        long delayMillis = ForwardDelay.delayMillis(
                acceptedAtMillis, frame.echoedMillis(), frame.echoAgeMillis(), link.roundTripMillis());
        deadlineMillis = acceptedAtMillis + frame.remainingMillis() - delayMillis;
        work = request.work().withUrgency(frame.urgency()).withRemainingMillis(Math.max(0, remainingMillis()));
    }

    /** Sends the request to a target, or rejects it. */
    public void start() {
        if (finished) {
            return;
        }
        if (!isStillAllowed()) {
            fail(AttemptFailure.NOT_SENT, "a newer configuration doesn't allow the request here");
            return;
        }
        if (remainingMillis() <= 0) {
            fail(AttemptFailure.NOT_SENT, "the deadline passed before the request arrived");
            return;
        }
        if (backup.isEmpty()) {
            send();
        } else {
            continueAtBackup();
        }
    }

    /**
     * Checks its attempt periodically.
     *
     * @param nowMillis the time
     */
    public void tick(long nowMillis) {
        if (!finished && attempt != null) {
            attempt.tick(nowMillis);
        }
    }

    /**
     * Rejects it before it is started, so that the other host can send it elsewhere.
     *
     * @param reason the reason
     */
    public void reject(String reason) {
        fail(AttemptFailure.NOT_SENT, reason);
    }

    /** Cancels it without a response. */
    public void cancel() {
        if (finished) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        finish("cancelled");
    }

    /** Aborts it because this process terminates, and notifies the host that forwarded it. */
    public void abort() {
        if (finished) {
            return;
        }
        AttemptFailure failure = abortFailure();
        if (attempt != null) {
            attempt.cancel();
        }
        fail(failure, "this host is terminating");
    }

    private AttemptFailure abortFailure() {
        if (attempt == null) {
            return AttemptFailure.NOT_SENT;
        }
        return attempt.backup().isEmpty() ? AttemptFailure.UNKNOWN : AttemptFailure.INTERRUPTED;
    }

    @Override
    public void headersReceived(int status, HttpHeaders headers) {
        String heldBy = attempt == null ? "" : attempt.backup();
        link.send(new PeerFrame.ResponseHead(frame.call(), status, PeerLink.flatten(headers), target, heldBy));
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
        if (finished) {
            return;
        }
        if (firstChunkAtMillis == 0) {
            firstChunkAtMillis = state.nowMillis();
        }
        int length = bytes.readableBytes();
        MemoryBudget memory = state.memory().unsent();
        if (unsentBytes + length > MAX_UNSENT_BYTES || !memory.tryGrow(unsentBytes, unsentBytes + length)) {
            attempt.cancel();
            fail(AttemptFailure.UNKNOWN, "the response is larger than what can wait for its link");
            return;
        }
        unsentBytes += length;
        link.send(new PeerFrame.ResponseChunk(frame.call(), ByteBufUtil.getBytes(bytes)), () -> {
            unsentBytes -= length;
            memory.release(length, state.nowMillis());
        });
    }

    @Override
    public void completed() {
        if (finished) {
            return;
        }
        link.send(new PeerFrame.ResponseEnd(frame.call()));
        route().forEach(rule -> state.recordDuration(rule, state.nowMillis() - acceptedAtMillis));
        finish("answered");
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        attempt = null;
        boolean mayTryAnother = backup.isEmpty() && !failure.reachedTarget() && !failure.isFinal();
        if (mayTryAnother && ++failedBeforeSend <= MAX_FAILED_BEFORE_SEND) {
            send();
            return;
        }
        fail(failure, reason);
    }

    /** Checks the client account and the sender's choice of service against this host's configuration if that is newer. */
    private boolean isStillAllowed() {
        if (state.configurationVersion() <= frame.configurationVersion()) {
            return true;
        }
        if (request.account().isDefined() && account().isEmpty()) {
            return false;
        }
        return route().exists(rule -> rule.allows(state.self().location().region())
                && rule.services().stream()
                        .filter(service -> service.weight() > 0)
                        .map(WeightedService::service)
                        .anyMatch(frame.service()::equals));
    }

    private void send() {
        Option<ServiceRule> service = state.configuration().flatMap(now -> now.service(frame.service()));
        Option<TargetChoice> choice = service.flatMap(this::choose);
        if (choice.isEmpty()) {
            fail(AttemptFailure.NOT_SENT, "no target is available in this region");
            return;
        }
        if (isExpectedTooLate(service.get(), choice.get())) {
            fail(AttemptFailure.NOT_SENT, "the expected queue wait in this region is too long");
            return;
        }
        if (!mayAccept()) {
            fail(AttemptFailure.NOT_SENT, STOPPING_REASON);
            return;
        }
        target = choice.get().target().incarnationText();
        expectedMillis = choice.get().expectedMillis();
        excluded.add(target);
        requestLog.add(LogLine.of(LogEvent.FORWARD_TAKEN)
                .with("from", link.host().map(host -> host.name()).getOrElse(""))
                .with("target", target)
                .with("expectedMillis", expectedMillis)
                .with("waitMillis", choice.get().queueWaitMillis())
                .with("candidates", choice.get().candidates())
                .with("requestsThere", choice.get().target().totalWork().requests())
                .with(
                        "paceMillis",
                        choice.get()
                                .target()
                                .streams()
                                .totalStats(state.nowMillis())
                                .meanInterTokenMillis())
                .with("remainingMillis", remainingMillis()));
        TargetCall call = new TargetCall(request, work, remainingMillis(), frame.lastEventId(), frame.atMostOnce());
        Attempt started = LocalAttempt.send(state, choice.get(), route(), service.get(), call, this, requestLog);
        if (!finished && attempt == null) {
            attempt = started;
        }
    }

    /**
     * Continues a stream whose host was lost. It may have run, so that nothing but its backup may run it.
     */
    private void continueAtBackup() {
        Option<ServiceRule> service = state.configuration().flatMap(now -> now.service(frame.service()));
        Option<GatewayTarget> holder = state.pool().findIncarnation(backup).filter(found -> state.pool()
                .mayContinue(found, state.nowMillis()));
        if (service.isEmpty() || holder.isEmpty()) {
            fail(AttemptFailure.NOT_SENT, "the backup is not available");
            return;
        }
        if (!mayAccept()) {
            fail(AttemptFailure.NOT_SENT, STOPPING_REASON);
            return;
        }
        target = backup;
        requestLog.add(LogLine.of(LogEvent.FORWARD_TAKEN)
                .with("from", link.host().map(host -> host.name()).getOrElse(""))
                .with("target", target)
                .with("lastEventId", frame.lastEventId())
                .with("remainingMillis", remainingMillis()));
        TargetCall call = new TargetCall(request, work, remainingMillis(), frame.lastEventId(), frame.atMostOnce());
        Attempt started = LocalAttempt.continueAtBackup(state, holder.get(), service.get(), call, this, requestLog);
        if (!finished && attempt == null) {
            attempt = started;
        }
    }

    private Option<TargetChoice> choose(ServiceRule service) {
        long now = state.nowMillis();
        return route().map(rule -> state.chooser()
                        .choose(new PlacementRequest(rule, service, work, excluded), state.regionView(), now))
                .getOrElse(() -> state.chooser().choose(service, work, excluded, state.regionView(), now));
    }

    /**
     * Returns whether the queue wait here is too long to accept the request. The sender chose this region by a report
     * up to one second old, and so did other hosts; only this region knows the sum of their requests. If accepted, the
     * request would be prefilled although its caller gives up, and would delay those behind it. Symptom: requests of
     * other regions start seconds after they arrived.
     */
    private boolean isExpectedTooLate(ServiceRule service, TargetChoice choice) {
        if (!frame.lastEventId().isEmpty() || !service.isModel() || !state.uses(Mechanism.REFUSE_LATE)) {
            return false;
        }
        return route().exists(rule -> choice.estimate().shouldReject(rule.objectiveMillis(), work.urgency()));
    }

    /** Returns whether it may start on this host, which may be stopping; its route may be unknown here. */
    private boolean mayAccept() {
        return state.admission()
                .mayStart(route().map(rule -> state.duration(rule, remainingMillis()))
                        .getOrElse(() -> new RequestDuration(Option.none(), remainingMillis(), false)));
    }

    private Option<RouteRule> route() {
        return state.configuration()
                .flatMap(now -> now.route(frame.authority(), request.path()))
                .map(rule -> account().map(rule::of).getOrElse(rule));
    }

    private Option<GatewayAccount> account() {
        return state.configuration().flatMap(now -> request.account().flatMap(now::account));
    }

    private long remainingMillis() {
        return deadlineMillis - state.nowMillis();
    }

    private void fail(AttemptFailure failure, String reason) {
        link.send(new PeerFrame.CallFailed(frame.call(), failure.name(), reason, target));
        finish(failure.name() + ": " + reason);
    }

    private void finish(String outcome) {
        finished = true;
        LogLine endLine = LogLine.of(LogEvent.ENDED)
                .with("outcome", outcome)
                .with("forwardedBy", link.host().map(host -> host.name()).getOrElse(""))
                .with("target", target)
                .with("urgency", work.urgency().name())
                .with("expectedMillis", expectedMillis)
                .with("tookMillis", state.nowMillis() - acceptedAtMillis);
        state.admission().stoppingMillis().forEach(millis -> endLine.with("stoppingMillis", millis));
        if (firstChunkAtMillis > 0) {
            endLine.with("firstPartMillis", firstChunkAtMillis - acceptedAtMillis);
        }
        requestLog.end(endLine, outcome.equals("answered"));
        onFinished.run();
    }
}
