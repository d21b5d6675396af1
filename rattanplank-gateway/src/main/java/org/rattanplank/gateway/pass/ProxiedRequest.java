package org.rattanplank.gateway.pass;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Option;
import org.rattanplank.core.account.AllowanceRefusal;
import org.rattanplank.core.account.GatewayAccount;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.Mechanism;
import org.rattanplank.core.gateway.Placement;
import org.rattanplank.core.gateway.PlacementRequest;
import org.rattanplank.core.gateway.RequestDuration;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.RouteRule;
import org.rattanplank.core.gateway.ServiceEstimate;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.core.response.RetryAfter;
import org.rattanplank.gateway.GatewayMetrics;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.Latency;
import org.rattanplank.gateway.caller.CallerRequest;
import org.rattanplank.gateway.http.Headers;
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
 * Proxies one caller's request, from its arrival to the end of its response.
 *
 * <p>Invariants: the response says "not run" only if no attempt may have run; a request that is not idempotent is
 * retried only after its target reported that it did not run; once part of a response was sent, the response either
 * completes or is visibly truncated. Confined to the event loop.
 */
public final class ProxiedRequest implements CallerRequest {
    /**
     * How long a request waits for the first configuration. A process that has just started receives it after some
     * hundred milliseconds; a rejected caller would retry later than that.
     */
    private static final long CONFIGURATION_WAIT_MILLIS = 800;

    /** The maximum number of attempts that fail before anything is sent. Such attempts are cheap, but need a limit. */
    private static final int MAX_FAILED_BEFORE_SEND = 4;

    private static final String QUARANTINED_BODY_END =
            "; this attempt has not run and the request will not be served\n";

    private final GatewayState state;
    private GatewayRequest request;
    private final CallerResponse response;
    private final RequestLog requestLog;
    private final DecisionLog decisionLog;
    private final long arrivedAtMillis;
    private final Set<String> excluded = new HashSet<>();
    private final Runnable onFinished;
    private RouteRule route;
    private ServiceRule service;
    private Work work = Work.PLAIN;
    private long deadlineMillis = Long.MAX_VALUE;
    private Attempt attempt;
    private AttemptHandler attemptHandler;
    private long attemptAtMillis;

    /** The attempt that takes a begun stream over from a silent target, unless it is rejected. */
    private Option<Takeover> takeover = Option.none();

    private long nextTakeoverAtMillis;
    private GatewayTarget localTarget;
    private String lastTarget = "";
    private int attemptsSent;
    private int failedBeforeSend;
    private boolean firstSendRecorded;
    private boolean mayHaveRun;
    private boolean failedOver;

    /**
     * The service estimate of the target or region to which it was last sent, or would have been sent when it was
     * rejected.
     */
    private ServiceEstimate estimate = ServiceEstimate.NONE;

    private boolean awaitingConfiguration;
    private boolean finished;

    /**
     * Creates a request that is not yet started.
     *
     * @param state the state that all requests share
     * @param request the request
     * @param response where its response is written
     * @param onFinished run once when it is finished
     */
    public ProxiedRequest(GatewayState state, GatewayRequest request, CallerResponse response, Runnable onFinished) {
        this.state = state;
        this.request = request;
        this.response = response;
        this.onFinished = onFinished;
        requestLog = new RequestLog(state.log(), request.id());
        decisionLog = new DecisionLog(requestLog);
        arrivedAtMillis = state.nowMillis();
    }

    /** Starts it. */
    public void start() {
        if (finished) {
            return;
        }
        if (!state.admission().mayStart(RequestDuration.NONE)) {
            rejectAsStopping();
            return;
        }
        if (!state.isInitialized()) {
            awaitingConfiguration = true;
            return;
        }
        routeAndSend();
    }

    private void routeAndSend() {
        GatewayConfiguration configuration = state.configuration().get();
        Option<RouteRule> found = configuration.route(request.authority(), request.path());
        if (found.isEmpty()) {
            respond(HttpResponseStatus.NOT_FOUND, "no route matches the request");
            return;
        }
        Option<GatewayAccount> account = request.key().flatMap(configuration::account);
        if (account.isEmpty()
                && configuration.requiresAccounts()
                && !found.get().isPublic()) {
            respond(
                    HttpResponseStatus.UNAUTHORIZED,
                    request.key().isEmpty() ? "the request has no key" : "no client account has the request's key");
            return;
        }
        request = account.map(each -> request.ofAccount(state.accountHeader(), each.name()))
                .getOrElse(request);
        route = account.map(found.get()::of).getOrElse(found.get());
        work = request.work()
                .withUrgency(state.uses(Mechanism.RANK) ? configuration.urgency(route, account) : Urgency.MIDDLE);
        String name = route.pickService(state.nextRandom());
        Option<ServiceRule> configured = configuration.service(name);
        if (configured.isEmpty()) {
            reject("the service of its route is not configured");
            return;
        }
        service = configured.get();
        deadlineMillis = arrivedAtMillis
                + Math.min(route.timeoutMillis(), request.timeoutMillis().getOrElse(Long.MAX_VALUE));
        work = work.withRemainingMillis(deadlineMillis - arrivedAtMillis);
        response.expectResponse(
                route.kind() == RouteKind.STREAM, request.lastEventId().getOrElse(""));
        send();
    }

    /**
     * Ends it at its deadline, and abandons an attempt at an unresponsive target.
     *
     * @param nowMillis the time
     */
    public void tick(long nowMillis) {
        if (finished) {
            return;
        }
        if (awaitingConfiguration) {
            waitForConfiguration(nowMillis);
            return;
        }
        if (nowMillis >= deadlineMillis) {
            onTimeout();
            return;
        }
        state.recordDuration(route, nowMillis - arrivedAtMillis);
        if (attempt != null) {
            attempt.tick(nowMillis);
        }
        takeover.forEach(each -> each.tick(nowMillis));
        if (finished || takeover.isDefined() || !isStalled(nowMillis)) {
            return;
        }
        if (response.isStarted()) {
            startTakeover(nowMillis);
        } else {
            Attempt stalled = attempt;
            lastTarget = stalled.destination();
            localTarget.recordUnreachable(nowMillis);
            stalled.cancel();
            attemptFailed(AttemptFailure.UNKNOWN, "the target is unresponsive");
        }
    }

    /**
     * Aborts it because this process terminates. The response tells the caller at least whether the request may have
     * run, which a closed connection would leave open.
     */
    public void abort() {
        if (finished) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
            mayHaveRun = true;
        }
        fail("this host is terminating");
    }

    @Override
    public void callerDisconnected(String reason) {
        if (finished) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        state.metrics().ended("left");
        complete("caller_left", reason, false);
    }

    private void waitForConfiguration(long nowMillis) {
        if (state.isInitialized()) {
            awaitingConfiguration = false;
            routeAndSend();
        } else if (!state.uses(Mechanism.AWAIT_CONFIGURATION)
                || nowMillis - arrivedAtMillis >= CONFIGURATION_WAIT_MILLIS) {
            awaitingConfiguration = false;
            reject("no configuration has been received yet");
        }
    }

    private boolean isStalled(long nowMillis) {
        return attempt != null
                && localTarget != null
                && state.uses(Mechanism.LEAVE_SILENT)
                && route.isIdempotent()
                && attemptsSent < route.maxAttempts()
                && nowMillis >= nextTakeoverAtMillis
                && localTarget.isStalled(attemptAtMillis, nowMillis)
                && state.quarantine().mayRetry(request)
                && state.retryBudget().remaining(service.name(), nowMillis) > 0
                && routingOptions().placement().localChoice().isDefined();
    }

    /** Asks another target to continue the stream. The silent one may go on later, so it is only left for one that does. */
    private void startTakeover(long nowMillis) {
        localTarget.recordUnreachable(nowMillis);
        Option<TargetChoice> choice =
                routingOptions().placement().localChoice().filter(other -> other.target() != localTarget);
        if (choice.isEmpty() || !state.retryBudget().trySpend(service.name(), nowMillis)) {
            nextTakeoverAtMillis = nowMillis + Takeover.PAUSE_MILLIS;
            return;
        }
        state.charges().chargeAgain(request);
        recordSend();
        decisionLog.sent(choice.get(), service, work, nowMillis, deadlineMillis, attemptsSent);
        GatewayTarget other = choice.get().target();
        Takeover started = new TargetTakeover(other, new AttemptHandler(other.incarnationText()), nowMillis);
        takeover = Option.some(started);
        started.started(
                LocalAttempt.send(state, choice.get(), Option.some(route), service, targetCall(), started, requestLog));
    }

    private RoutingOptions routingOptions() {
        return state.routingOptions(new PlacementRequest(route, service, remainingWork(), excluded));
    }

    private void send() {
        if (state.quarantine().isQuarantined(request)) {
            endQuarantined();
            return;
        }
        RoutingOptions options = routingOptions();
        Placement placement = options.placement();
        // Checked also before a retry: the remaining targets and regions are often full. Symptom: requests sent where
        // the estimate is several times their latency objective, and callers that disconnect.
        if (!mayHaveRun && !response.isStarted() && placement.shouldReject()) {
            estimate = placement.estimate();
            reject("the expected queue wait is too long");
            return;
        }
        RequestDuration duration = state.duration(route, deadlineMillis - state.nowMillis());
        if (!mayHaveRun && !response.isStarted() && !state.admission().mayStart(duration)) {
            rejectAsStopping();
            return;
        }
        if (state.admission().mayInterrupt(duration)) {
            response.requireWhole();
        }
        Option<String> region = placement.forwardRegion();
        if ((region.isDefined() || placement.localChoice().isDefined()) && !charge()) {
            return;
        }
        if (region.isDefined()) {
            estimate = placement.estimate(region.get());
            forward(options, region.get());
        } else if (placement.localChoice().isDefined()) {
            estimate = placement.localEstimate();
            sendLocally(placement.localChoice().get());
        } else {
            fail("no target is available");
        }
    }

    /** Charges a send to the allowance of its client account, and rejects the request if that is used up. */
    private boolean charge() {
        if (mayHaveRun || response.isStarted()) {
            state.charges().chargeAgain(request);
            return true;
        }
        Option<AllowanceRefusal> refusal = state.charges().tryCharge(request);
        refusal.forEach(this::rejectOverAllowance);
        return refusal.isEmpty();
    }

    private void sendLocally(TargetChoice choice) {
        attemptAtMillis = state.nowMillis();
        localTarget = choice.target();
        recordSend();
        decisionLog.sent(choice, service, work, attemptAtMillis, deadlineMillis, attemptsSent);
        AttemptHandler handler = new AttemptHandler(choice.target().incarnationText());
        Attempt started =
                LocalAttempt.send(state, choice, Option.some(route), service, targetCall(), handler, requestLog);
        setAttempt(handler, started);
    }

    private void forward(RoutingOptions options, String region) {
        PeerLink link = options.linksByRegion().get(region);
        attemptAtMillis = state.nowMillis();
        localTarget = null;
        recordSend();
        int hosts = state.regionView().hosts().size();
        state.regionLoads().recordSent(region, service.name(), work.urgency(), Placement.workUnits(work), hosts);
        decisionLog.forwarded(options, region, service, attemptsSent);
        AttemptHandler handler = new AttemptHandler(region);
        setAttempt(handler, link.sendRequest(number -> callRequest(number, link), handler));
    }

    private PeerFrame.CallRequest callRequest(long number, PeerLink link) {
        TargetCall call = targetCall();
        return new PeerFrame.CallRequest(
                number,
                state.configurationVersion(),
                service.name(),
                request.id(),
                request.method(),
                request.uri(),
                request.authority(),
                PeerLink.flatten(request.headers()),
                request.body(),
                call.remainingMillis(),
                link.state().sentAtMillis(),
                link.stateAgeMillis(),
                call.lastEventId(),
                work.urgency(),
                !route.isIdempotent(),
                List.copyOf(excluded));
    }

    /**
     * Continues a forwarded stream at its backup, through another host of the region: the host that served it is lost.
     *
     * @return whether it was sent
     */
    private boolean failOver(String region, String backup) {
        boolean possible = !backup.isEmpty()
                && !route.isIdempotent()
                && response.events() > 0
                && state.quarantine().mayRetry(request);
        Option<PeerLink> link = possible ? state.drawLink(route, region) : Option.none();
        if (link.isEmpty() || !state.retryBudget().trySpend(service.name(), state.nowMillis())) {
            return false;
        }
        failedOver = true;
        state.metrics().failedOver();
        decisionLog.failedOver(region, link.get(), backup, response);
        response.discardPartial();
        attemptAtMillis = state.nowMillis();
        recordSend();
        AttemptHandler handler = new AttemptHandler(region);
        setAttempt(
                handler,
                link.get()
                        .sendRequest(
                                number -> new PeerFrame.FailoverRequest(callRequest(number, link.get()), backup),
                                handler));
        return true;
    }

    private void setAttempt(AttemptHandler handler, Attempt started) {
        if (handler.active) {
            attempt = started;
            attemptHandler = handler;
        }
    }

    private void recordSend() {
        attemptsSent++;
        if (!firstSendRecorded) {
            firstSendRecorded = true;
            state.metrics().record(Latency.BEFORE_SEND, state.nowMillis() - arrivedAtMillis);
            state.retryBudget().recordFirstAttempt(service.name(), state.nowMillis());
        }
        state.metrics().sent(attemptsSent);
    }

    private TargetCall targetCall() {
        return new TargetCall(
                request,
                remainingWork(),
                deadlineMillis - state.nowMillis(),
                response.lastEventId(),
                !route.isIdempotent());
    }

    /** Returns its work, limited to the remaining time. */
    private Work remainingWork() {
        return work.withRemainingMillis(Math.max(1, deadlineMillis - state.nowMillis()));
    }

    private void attemptFailed(AttemptFailure failure, String reason) {
        attemptFailed(failure, reason, "", "");
    }

    private void attemptFailed(AttemptFailure failure, String reason, String region, String backup) {
        attempt = null;
        if (!failure.mayHaveRun() && !failedOver) {
            state.charges().refund(request);
        }
        decisionLog.attemptFailed(request, failure, reason, lastTarget, state.nowMillis() - attemptAtMillis);
        state.metrics().attemptFailed(failure);
        if (failedOver) {
            // It has run, so that nothing but its backup could continue it.
            fail(reason);
            return;
        }
        if (failure.mayHaveRun() && failOver(region, backup)) {
            mayHaveRun = true;
            return;
        }
        if (failure.isFinal()) {
            attemptsSent--;
            endQuarantined();
            return;
        }
        if (!failure.reachedTarget()) {
            attemptsSent--;
            failedBeforeSend++;
            if (failedBeforeSend <= MAX_FAILED_BEFORE_SEND) {
                send();
            } else {
                fail(reason);
            }
            return;
        }
        boolean retryable = !failure.mayHaveRun() || route.isIdempotent();
        mayHaveRun |= failure.mayHaveRun();
        if (retryable && mayRetry()) {
            decisionLog.retried(response);
            response.discardPartial();
            send();
            return;
        }
        fail(reason);
    }

    private boolean mayRetry() {
        return state.uses(Mechanism.REPEAT)
                && attemptsSent < route.maxAttempts()
                && response.canContinue()
                && state.quarantine().mayRetry(request)
                && state.retryBudget().trySpend(service.name(), state.nowMillis());
    }

    private void fail(String reason) {
        if (response.isStarted()) {
            response.abort();
            state.metrics().ended("broken");
            complete("broken", reason, false);
        } else if (mayHaveRun) {
            respond(HttpResponseStatus.BAD_GATEWAY, reason);
        } else {
            reject(reason);
        }
    }

    private void onTimeout() {
        if (attempt != null) {
            attempt.cancel();
            // The attempt's outcome is unknown; the target may have run it.
            mayHaveRun = true;
        }
        if (!response.isStarted() && mayHaveRun) {
            respond(HttpResponseStatus.GATEWAY_TIMEOUT, "the deadline has passed");
        } else {
            fail("the deadline has passed");
        }
    }

    private void reject(String reason) {
        reject(reason, unavailableMillis());
    }

    /** Rejects a request that this host can't complete; its caller should return when a host of the region can. */
    private void rejectAsStopping() {
        reject("this host is stopping", state.admission().unavailableMillis());
    }

    private void reject(String reason, long unavailableMillis) {
        long retryAfterMillis =
                state.retryAfterMillis(Option.of(service), work, unavailableMillis, deadlineMillis - state.nowMillis());
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused", reason, retryAfterMillis);
    }

    /** Returns how long its service can't be served: every target has requested a pause, and no other region has room. */
    private long unavailableMillis() {
        if (service == null) {
            return 0;
        }
        long pauseMillis = state.pool().requestedPauseMillis(service.name(), state.nowMillis());
        return pauseMillis == 0 || state.hasCandidate(route, service, work) ? 0 : pauseMillis;
    }

    private void rejectOverAllowance(AllowanceRefusal refusal) {
        String account = request.account().get();
        long retryAfterMillis = state.retryAfterMillis(
                refusal,
                account,
                state.allowances().units(account, request.statedTokens()),
                deadlineMillis - state.nowMillis());
        decisionLog.overAllowance(account, refusal, retryAfterMillis);
        reject(
                HttpResponseStatus.TOO_MANY_REQUESTS,
                "over_allowance",
                "the client account's allowance is used up",
                retryAfterMillis);
    }

    private void reject(HttpResponseStatus status, String outcome, String reason, long retryAfterMillis) {
        HttpHeaders headers = Headers.unchecked();
        headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.text(retryAfterMillis));
        response.respond(status.code(), headers, Unpooled.EMPTY_BUFFER);
        state.metrics().ended(outcome);
        complete(outcome, reason, false);
    }

    /** Ends it as no target may run it; without {@code Retry-After}, as it would be rejected again. */
    private void endQuarantined() {
        String reason = state.quarantine().reason(request);
        if (response.isStarted() || mayHaveRun) {
            fail(reason);
            return;
        }
        response.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                Headers.unchecked().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN),
                Unpooled.copiedBuffer(reason + QUARANTINED_BODY_END, StandardCharsets.UTF_8));
        state.metrics().ended("quarantined");
        complete("quarantined", reason, false);
    }

    private void respond(HttpResponseStatus status, String reason) {
        response.respond(status.code(), Headers.unchecked(), Unpooled.EMPTY_BUFFER);
        state.metrics().ended(Integer.toString(status.code()));
        complete(Integer.toString(status.code()), reason, false);
    }

    private void complete(String outcome, String reason, boolean ordinary) {
        finished = true;
        attempt = null;
        takeover.forEach(Takeover::cancel);
        response.discardPartial();
        LogLine endLine = LogLine.of(LogEvent.ENDED)
                .with("outcome", outcome)
                .with("status", response.status())
                .with("target", lastTarget)
                .with("route", route == null ? "" : route.name())
                .with("configurationVersion", state.configurationVersion())
                .with("urgency", work.urgency().name())
                .with("attempts", attemptsSent)
                .with("readMillis", response.requestReadMillis())
                .with("tookMillis", state.nowMillis() - arrivedAtMillis);
        state.admission().stoppingMillis().forEach(millis -> endLine.with("stoppingMillis", millis));
        request.account().forEach(account -> endLine.with("account", account));
        if (!reason.isEmpty()) {
            endLine.with("reason", reason);
        }
        DecisionLog.addSize(endLine, work, response);
        DecisionLog.addEstimate(endLine, estimate);
        if (response.firstChunkAtMillis() > 0) {
            DecisionLog.addLatencies(endLine, latencyResult());
        }
        decisionLog.ended(endLine, ordinary);
        onFinished.run();
    }

    private void recordAnswered() {
        GatewayMetrics metrics = state.metrics();
        metrics.answered();
        metrics.record(Latency.WHOLE, state.nowMillis() - arrivedAtMillis);
        state.recordDuration(route, state.nowMillis() - arrivedAtMillis);
        metrics.record(Latency.FIRST_PART, latencyResult().firstChunkMillis());
        metrics.record(Latency.LONGEST_GAP, latencyResult().longestGapMillis());
        boolean targetFailed = response.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        complete(
                "answered",
                "",
                attemptsSent == 1 && failedBeforeSend == 0 && !latencyResult().isLate() && !targetFailed);
    }

    private LatencyResult latencyResult() {
        return LatencyResult.of(response, arrivedAtMillis, route);
    }

    /** Handles the events of one attempt, as long as it is the current one. */
    private final class AttemptHandler implements AttemptListener {
        private final String destination;
        private boolean active = true;
        private boolean failing;

        private AttemptHandler(String destination) {
            this.destination = destination;
        }

        @Override
        public void headersReceived(int status, HttpHeaders headers) {
            if (!active || finished) {
                return;
            }
            takeover.forEach(Takeover::cancel);
            // For an idempotent request, the response of another target may be better than a failure.
            failing = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() && route.isIdempotent()
                    || response.isStarted() && status != HttpResponseStatus.OK.code();
            if (failing && (response.isStarted() || mayRetryFailure())) {
                abandon("the target responded with status " + status);
                return;
            }
            failing = false;
            response.head(status, headers);
        }

        @Override
        public void contentReceived(ByteBuf bytes) {
            if (active && !finished) {
                takeover.forEach(Takeover::cancel);
                response.content(bytes, state.nowMillis());
                response.overflow().forEach(this::abandon);
            }
        }

        @Override
        public void completed() {
            if (!active || finished) {
                return;
            }
            lastTarget = attempt == null ? destination : attempt.destination();
            active = false;
            attempt = null;
            takeover.forEach(Takeover::cancel);
            response.complete();
            recordAnswered();
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            if (!active || finished) {
                return;
            }
            if (takeover.isDefined()) {
                takeover.get().replaceFailed(failure, reason);
                return;
            }
            active = false;
            excluded.add(destination);
            lastTarget = attempt == null ? destination : attempt.destination();
            String backup = attempt == null || localTarget != null ? "" : attempt.backup();
            if (localTarget == null && !failure.mayHaveRun() && !failure.isFinal()) {
                state.regionLoads().recordRejected(destination, service.name(), work.urgency());
            }
            attemptFailed(failure, reason, destination, backup);
        }

        /** Returns whether another target is available; otherwise the failure is forwarded to the caller. */
        private boolean mayRetryFailure() {
            if (!state.uses(Mechanism.REPEAT)
                    || attemptsSent >= route.maxAttempts()
                    || !state.quarantine().mayRetry(request)
                    || state.retryBudget().remaining(service.name(), state.nowMillis()) < 1) {
                return false;
            }
            excluded.add(destination);
            return routingOptions().placement().hasCandidate();
        }

        private void abandon(String reason) {
            active = false;
            excluded.add(destination);
            lastTarget = attempt == null ? destination : attempt.destination();
            Attempt failed = attempt;
            if (failed != null) {
                failed.cancel();
            }
            attemptFailed(AttemptFailure.UNKNOWN, reason);
        }
    }

    /** Continues the stream at another target of this region. */
    private final class TargetTakeover extends Takeover {
        private final GatewayTarget target;
        private final AttemptHandler handler;

        private TargetTakeover(GatewayTarget target, AttemptHandler handler, long startedAtMillis) {
            super(handler, startedAtMillis);
            this.target = target;
            this.handler = handler;
        }

        @Override
        Attempt silentAttempt() {
            return ProxiedRequest.this.attempt;
        }

        @Override
        void onAccepted(AttemptFailure failure, String reason) {
            takeover = Option.none();
            attemptHandler.active = false;
            excluded.add(attemptHandler.destination);
            lastTarget = silentAttempt().destination();
            mayHaveRun = true;
            decisionLog.attemptFailed(request, failure, reason, lastTarget, state.nowMillis() - attemptAtMillis);
            state.metrics().attemptFailed(failure);
            decisionLog.retried(response);
            response.discardPartial();
            localTarget = target;
            attemptAtMillis = startedAtMillis();
            setAttempt(handler, attempt());
        }

        @Override
        void onWithdrawn() {
            takeover = Option.none();
            nextTakeoverAtMillis = state.nowMillis() + PAUSE_MILLIS;
        }

        @Override
        void onRejected(AttemptFailure failure, String reason) {
            if (!failure.mayHaveRun()) {
                attemptsSent--;
                state.charges().refund(request);
            }
            decisionLog.attemptFailed(
                    request, failure, reason, target.incarnationText(), state.nowMillis() - startedAtMillis());
            state.metrics().attemptFailed(failure);
        }
    }
}
