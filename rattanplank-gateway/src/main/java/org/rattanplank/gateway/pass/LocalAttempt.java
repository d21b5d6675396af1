package org.rattanplank.gateway.pass;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Option;
import org.rattanplank.core.gateway.ConnectResult;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.InFlightRequest;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceEstimate;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.StreamBackup;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.TerminationEvidence;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.core.response.Completeness;
import org.rattanplank.gateway.caller.EventSplitter;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.log.RequestLog;
import org.rattanplank.gateway.target.Attempt;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;
import org.rattanplank.gateway.target.TargetCall;

/**
 * An attempt at a target of this region, with its accounting from the send to its end. A stream with a backup continues
 * there if its target fails, which its listener doesn't notice.
 *
 * <p>Invariants: the accounting records each chunk and exactly one end; of a stream with a backup the listener receives
 * whole events only, each once and in order; after a failover every failure counts as unknown, as the stream has run.
 * Confined to the event loop.
 */
final class LocalAttempt implements Attempt, TargetNotices.Source {
    /** A prompt that crashes targets does so when they begin to answer it. */
    private static final long SOUND_AFTER_MILLIS = 1_000;

    private final GatewayState state;
    private final ServiceRule service;
    private final TargetCall call;
    private final AttemptListener listener;
    private final RequestLog log;
    private final Option<StreamBackup> backup;

    /** Splits the response into whole events; only a stream with a backup needs it. */
    private final Option<EventSplitter> events;

    private final long deadlineMillis;
    private GatewayTarget target;
    private InFlightRequest sentRequest;
    private long sentAtMillis;
    private Option<Long> lastEventAtMillis = Option.none();
    private Option<Long> firstContentAtMillis = Option.none();
    private boolean soundRecorded;
    private boolean headersDelivered;
    private boolean success;
    private Option<Attempt> attempt = Option.none();
    private boolean checkingTarget;

    /** The attempt at the backup that takes the stream over from a silent engine, unless it is rejected. */
    private Option<Takeover> takeover = Option.none();

    private long nextTakeoverAtMillis;
    private boolean cancelled;

    private LocalAttempt(
            GatewayState state,
            GatewayTarget target,
            ServiceRule service,
            TargetCall call,
            Option<StreamBackup> backup,
            AttemptListener listener,
            RequestLog log) {
        this.target = target;
        this.state = state;
        this.service = service;
        this.call = call;
        this.backup = backup;
        this.listener = listener;
        this.log = log;
        events = backup.map(each -> new EventSplitter(call.lastEventId(), state.newIncompleteHolder()));
        deadlineMillis = state.nowMillis() + call.remainingMillis();
    }

    /**
     * Sends a request to a target.
     *
     * @param state the state that all requests share
     * @param choice the target
     * @param route the route of the request, if it is known here
     * @param service the service of the target
     * @param call the request
     * @param listener receives the events of the attempt
     * @param log the log of the request
     * @return the attempt
     */
    static Attempt send(
            GatewayState state,
            TargetChoice choice,
            Option<RouteRule> route,
            ServiceRule service,
            TargetCall call,
            AttemptListener listener,
            RequestLog log) {
        Option<StreamBackup> backup = route.flatMap(
                rule -> state.chooser().reserveBackup(rule, service, call.work(), choice.target(), state.nowMillis()));
        TargetCall backedUp = call.withBackup(backup.map(StreamBackup::target));
        LocalAttempt localAttempt = new LocalAttempt(state, choice.target(), service, backedUp, backup, listener, log);
        localAttempt.sentRequest = InFlightRequest.of(state.chooser(), choice, service, call.work(), state.nowMillis());
        if (localAttempt.sentRequest.isLargePrefill()) {
            state.notifyLargePrefill(choice.target());
        }
        if (backup.isDefined()) {
            state.metrics().backedUp();
        }
        localAttempt.connect(choice, backedUp);
        return localAttempt;
    }

    /**
     * Continues a stream at the target that holds its backup.
     *
     * @param state the state that all requests share
     * @param target the target
     * @param service the service of the target
     * @param call the request, with the last event that its caller has
     * @param listener receives the events of the attempt
     * @param log the log of the request
     * @return the attempt
     */
    static Attempt continueAtBackup(
            GatewayState state,
            GatewayTarget target,
            ServiceRule service,
            TargetCall call,
            AttemptListener listener,
            RequestLog log) {
        LocalAttempt localAttempt = new LocalAttempt(state, target, service, call, Option.none(), listener, log);
        localAttempt.sendFailover(call.work(), call.lastEventId());
        return localAttempt;
    }

    @Override
    public String destination() {
        return target.incarnationText();
    }

    @Override
    public String backup() {
        return backup.filter(each -> !each.hasFailedOver())
                .map(each -> each.target().incarnationText())
                .getOrElse("");
    }

    @Override
    public void cancel() {
        cancelled = true;
        takeover.forEach(Takeover::cancel);
        events.forEach(EventSplitter::discardRemainder);
        release();
        attempt.forEach(Attempt::cancel);
    }

    @Override
    public void tick(long nowMillis) {
        if (takeover.isDefined()) {
            takeover.get().tick(nowMillis);
            return;
        }
        if (!checkingTarget
                && nowMillis >= nextTakeoverAtMillis
                && backup.exists(each -> each.isPrimaryStalled(lastEventAtMillis, nowMillis))
                && tryReserveFailover()) {
            target.recordUnreachable(nowMillis);
            startTakeover(nowMillis);
        }
    }

    @Override
    public void headersReceived(int status, HttpHeaders headers) {
        success = status < HttpResponseStatus.BAD_REQUEST.code();
        if (!headersDelivered) {
            headersDelivered = true;
            listener.headersReceived(status, headers);
        } else if (status != HttpResponseStatus.OK.code()) {
            attempt.forEach(Attempt::cancel);
            failed(AttemptFailure.UNKNOWN, "the backup responded with status " + status);
        }
    }

    @Override
    public TargetNotices notices() {
        return new TargetNotices(state, target, service, log);
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
        takeover.forEach(Takeover::cancel);
        sentRequest.recordEvent(success, state.nowMillis());
        recordAnswering();
        if (events.isEmpty()) {
            listener.contentReceived(bytes);
            return;
        }
        lastEventAtMillis = Option.some(state.nowMillis());
        deliver(events.get().append(bytes));
        Option<String> overflow = events.get().overflow();
        if (!cancelled && overflow.isDefined()) {
            attempt.forEach(Attempt::cancel);
            failed(AttemptFailure.UNKNOWN, overflow.get());
        }
    }

    /** Records once that the target has been answering for long enough that the prompt crashes none. */
    private void recordAnswering() {
        if (firstContentAtMillis.isEmpty()) {
            firstContentAtMillis = Option.some(state.nowMillis());
        } else if (success && !soundRecorded && state.nowMillis() - firstContentAtMillis.get() >= SOUND_AFTER_MILLIS) {
            soundRecorded = true;
            state.quarantine().answered(call.request());
        }
    }

    @Override
    public void endedByConnection(Completeness completeness) {
        state.metrics().closeDelimited(completeness);
        if (completeness == Completeness.TRUNCATED) {
            target.recordFailure(state.nowMillis());
            failed(AttemptFailure.UNKNOWN, "the connection ended inside an event");
            return;
        }
        takeover.forEach(Takeover::cancel);
        checkingTarget = true;
        long endedAtMillis = state.nowMillis();
        sentRequest.release();
        state.crashDetector().responseEnded(target, interruptedRequest(), evidence -> {
            checkingTarget = false;
            if (cancelled) {
                return;
            }
            logEnd(evidence, state.nowMillis() - endedAtMillis);
            if (evidence.isTermination()) {
                conclude(AttemptFailure.UNKNOWN, "the target terminated when its response ended with its connection");
            } else {
                completed(endedAtMillis);
            }
        });
    }

    @Override
    public void completed() {
        completed(state.nowMillis());
    }

    private void completed(long endedAtMillis) {
        takeover.forEach(Takeover::cancel);
        sentRequest.recordEnd(success, endedAtMillis);
        release();
        events.forEach(each -> deliver(each.takeRemainder()));
        // A failing target may answer a request that it has not run.
        if (success) {
            state.quarantine().completed(call.request());
        }
        listener.completed();
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        if (!failure.mayHaveRun()) {
            conclude(failure, reason);
            return;
        }
        checkingTarget = true;
        GatewayTarget failedTarget = target;
        state.crashDetector().connectionLost(target, interruptedRequest(), () -> {
            checkingTarget = false;
            // Its backup may have taken the stream over meanwhile.
            if (!cancelled && target == failedTarget) {
                conclude(failure, reason);
            }
        });
    }

    private void conclude(AttemptFailure failure, String reason) {
        if (takeover.isDefined()) {
            takeover.get().replaceFailed(failure, reason);
            return;
        }
        if (failure.mayHaveRun() && tryReserveFailover()) {
            failOver(reason);
            return;
        }
        boolean hasRun = backup.exists(StreamBackup::hasFailedOver);
        if (!hasRun && failure.mayHaveRun()) {
            backup.forEach(this::logWithoutFailover);
        }
        events.forEach(EventSplitter::discardRemainder);
        release();
        listener.failed(hasRun ? AttemptFailure.UNKNOWN : failure, reason);
    }

    private void connect(TargetChoice choice, TargetCall sentCall) {
        sentAtMillis = state.nowMillis();
        firstContentAtMillis = Option.none();
        sendUnlessQuarantined(choice, sentCall, this).forEach(sent -> attempt = Option.some(sent));
    }

    /** Sends the request to a target; every way to a target leads through here. */
    private Option<Attempt> sendUnlessQuarantined(TargetChoice choice, TargetCall sentCall, AttemptListener receiver) {
        if (state.quarantine().isQuarantined(call.request())) {
            receiver.failed(AttemptFailure.QUARANTINED, state.quarantine().reason(call.request()));
            return Option.none();
        }
        return Option.some(state.connections().send(choice, sentCall, receiver));
    }

    private InterruptedRequest interruptedRequest() {
        return new InterruptedRequest(call.request(), state.nowMillis() - sentAtMillis);
    }

    /**
     * Returns whether the stream may continue at its backup. It is the same run, but another arrival at a target, so
     * that it takes from the retry budget and from the allowance of its client account. A request whose engine ended before it sent an event has no copy, and may be
     * what brought the engine down.
     */
    private boolean tryReserveFailover() {
        long now = state.nowMillis();
        boolean begun = success && events.exists(each -> each.eventCount() > 0);
        return begun
                && now < deadlineMillis
                && backup.exists(each -> each.mayFailOver(now))
                && state.quarantine().mayRetry(call.request())
                && state.retryBudget().trySpend(service.name(), now);
    }

    private void failOver(String reason) {
        leaveEngine(reason);
        target = backup.get().target();
        sendFailover(remainingWork(), events.get().lastEventId());
    }

    /** Records that the stream goes on at its backup; what its engine has sent of an incomplete event is discarded. */
    private void leaveEngine(String reason) {
        sentRequest.release();
        backup.get().recordFailover();
        events.get().discardRemainder();
        logFailover(events.get(), reason);
    }

    /** Returns the work that is left for the backup. */
    private Work remainingWork() {
        return call.work()
                .withRemainingMillis(deadlineMillis - state.nowMillis())
                .afterGenerating(events.get().eventCount() * service.eventTokens());
    }

    /** Asks the backup to continue the stream. The silent engine may go on later, so it is only left for one that does. */
    private void startTakeover(long nowMillis) {
        GatewayTarget other = backup.get().target();
        Work work = remainingWork();
        BackupTakeover started = new BackupTakeover(
                other, InFlightRequest.ofFailover(state.chooser(), other, service, work, nowMillis), nowMillis);
        takeover = Option.some(started);
        state.charges().chargeAgain(call.request());
        TargetCall continuation =
                call.failOver(work, deadlineMillis - nowMillis, events.get().lastEventId());
        sendUnlessQuarantined(failoverChoice(other), continuation, started).forEach(started::started);
    }

    private static TargetChoice failoverChoice(GatewayTarget other) {
        return new TargetChoice(other, ServiceEstimate.NONE, 0, 1, Option.none());
    }

    private void sendFailover(Work work, String lastEventId) {
        long now = state.nowMillis();
        sentRequest = InFlightRequest.ofFailover(state.chooser(), target, service, work, now);
        state.charges().chargeAgain(call.request());
        connect(failoverChoice(target), call.failOver(work, deadlineMillis - now, lastEventId));
    }

    private void logFailover(EventSplitter forwarded, String reason) {
        state.metrics().failedOver();
        log.addNotable(LogLine.of(LogEvent.FAILED_OVER)
                .with("target", target.incarnationText())
                .with("backup", backup.get().target().incarnationText())
                .with("lastEventId", forwarded.lastEventId())
                .with("events", forwarded.eventCount())
                .with("remainingMillis", deadlineMillis - state.nowMillis())
                .with("reason", reason));
    }

    private void logWithoutFailover(StreamBackup unusable) {
        log.add(LogLine.of(LogEvent.NOT_FAILED_OVER)
                .with("backup", unusable.target().incarnationText())
                .with("backupUsable", unusable.mayFailOver(state.nowMillis()))
                .with("retriesLeft", state.retryBudget().remaining(service.name(), state.nowMillis()))
                .with("remainingMillis", deadlineMillis - state.nowMillis()));
    }

    private void logEnd(TerminationEvidence evidence, long decidedAfterMillis) {
        LogLine line = LogLine.of(LogEvent.RESPONSE_END)
                .with("target", target.incarnationText())
                .with("terminated", evidence.isTermination())
                .with("port", evidence.port().label())
                .with("decidedAfterMillis", decidedAfterMillis)
                .with("portClosedMillis", evidence.portClosedMillis())
                .with("requestsInProgress", evidence.requestsInProgress())
                .with("idleConnectionOpen", evidence.idleConnectionOpen())
                .with("interruptedTogether", evidence.interruptedTogether())
                .with("leaving", target.isLeaving());
        if (evidence.port() == ConnectResult.CONNECTED) {
            log.add(line);
        } else {
            log.addNotable(line);
        }
    }

    private void deliver(ByteBuf bytes) {
        if (bytes.isReadable()) {
            listener.contentReceived(bytes);
        }
        bytes.release();
    }

    private void release() {
        sentRequest.release();
        backup.forEach(StreamBackup::release);
    }

    /** Continues the stream at its backup. */
    private final class BackupTakeover extends Takeover implements TargetNotices.Source {
        private final GatewayTarget engine;
        private final InFlightRequest request;

        private BackupTakeover(GatewayTarget engine, InFlightRequest request, long startedAtMillis) {
            super(LocalAttempt.this, startedAtMillis);
            this.engine = engine;
            this.request = request;
        }

        @Override
        public TargetNotices notices() {
            return new TargetNotices(state, engine, service, log);
        }

        @Override
        Attempt silentAttempt() {
            return LocalAttempt.this.attempt.get();
        }

        @Override
        void onAccepted(AttemptFailure failure, String reason) {
            takeover = Option.none();
            leaveEngine(reason);
            target = engine;
            sentRequest = request;
            sentAtMillis = startedAtMillis();
            firstContentAtMillis = Option.none();
            LocalAttempt.this.attempt = Option.some(attempt());
        }

        @Override
        void onWithdrawn() {
            takeover = Option.none();
            nextTakeoverAtMillis = state.nowMillis() + PAUSE_MILLIS;
            request.release();
        }

        @Override
        void onRejected(AttemptFailure failure, String reason) {
            logWithoutFailover(backup.get());
        }
    }
}
