package org.rattanplank.gateway.pass;

import org.rattanplank.core.account.AllowanceRefusal;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.ServiceEstimate;
import org.rattanplank.core.gateway.ServiceRule;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.log.RequestLog;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.target.AttemptFailure;

/**
 * Logs the routing decisions of a caller's request, each with its inputs.
 *
 * <p>Invariant: the lines of a request are in the order of its decisions. Confined to the event loop.
 */
final class DecisionLog {
    private final RequestLog log;

    DecisionLog(RequestLog log) {
        this.log = log;
    }

    void sent(TargetChoice choice, ServiceRule service, Work work, long nowMillis, long deadlineMillis, int attempt) {
        GatewayTarget target = choice.target();
        log.add(LogLine.of(LogEvent.SENT)
                .with("target", target.incarnationText())
                .with("service", service.name())
                .with("expectedMillis", choice.expectedMillis())
                .with("candidates", choice.candidates())
                .with(
                        "copyFrom",
                        choice.transferSource()
                                .map(source -> source.incarnation().text())
                                .getOrElse(""))
                .with("requestsThere", target.totalWork().requests())
                .with("tokensWaitingThere", target.totalWork().prefillBacklog().ahead(work.urgency()))
                .with("paceMillis", target.streams().totalStats(nowMillis).meanInterTokenMillis())
                .with("remainingMillis", deadlineMillis - nowMillis)
                .with("attempt", attempt));
    }

    void forwarded(RoutingOptions options, String region, ServiceRule service, int attempt) {
        PeerLink link = options.linksByRegion().get(region);
        log.add(LogLine.of(LogEvent.FORWARDED)
                .with("region", region)
                .with("to", link.host().get().name())
                .with("service", service.name())
                .with("expectedMillis", options.placement().estimate(region).expectedMillis())
                .with("localMillis", options.placement().localCostMillis())
                .with("stateAgeMillis", link.stateAgeMillis())
                .with("attempt", attempt));
    }

    void attemptFailed(GatewayRequest request, AttemptFailure failure, String reason, String target, long tookMillis) {
        LogLine line = LogLine.of(LogEvent.ATTEMPT_FAILED)
                .with("failure", failure.name())
                .with("reason", reason)
                .with("target", target)
                .with("tookMillis", tookMillis);
        if (failure.mayHaveRun()) {
            line.with("fingerprint", request.fingerprint().get().text());
        }
        log.add(line);
    }

    void failedOver(String region, PeerLink link, String backup, CallerResponse response) {
        log.addNotable(LogLine.of(LogEvent.FAILED_OVER)
                .with("region", region)
                .with("to", link.host().get().name())
                .with("backup", backup)
                .with("lastEventId", response.lastEventId())
                .with("events", response.events()));
    }

    void overAllowance(String account, AllowanceRefusal refusal, long retryAfterMillis) {
        log.add(LogLine.of(LogEvent.OVER_ALLOWANCE)
                .with("account", account)
                .with("limitUnits", refusal.limitUnits())
                .with("usedUnits", refusal.usedUnits())
                .with("usedHerePerSecond", refusal.usedHerePerSecond())
                .with("usedElsewherePerSecond", refusal.usedElsewherePerSecond())
                .with("reportAgeMillis", refusal.oldestReportMillis())
                .with("retryAfterMillis", retryAfterMillis));
    }

    void retried(CallerResponse response) {
        log.add(LogLine.of(response.isStarted() ? LogEvent.RESUMED : LogEvent.REPEATED)
                .with("lastEventId", response.lastEventId()));
    }

    /**
     * Adds the service estimate of the target or region to which a request was last sent, or would have been sent when
     * it was rejected.
     */
    static void addEstimate(LogLine line, ServiceEstimate estimate) {
        if (estimate != ServiceEstimate.NONE) {
            line.with("region", estimate.region())
                    .with("waitMillis", estimate.queueWaitMillis())
                    .with("expectedMillis", estimate.expectedMillis())
                    .with("delayCostMillis", estimate.delayCostMillis())
                    .with("overrunMillis", estimate.overrunMillis());
        }
    }

    /** Adds the expected size of a generation and the number of events forwarded. */
    static void addSize(LogLine line, Work work, CallerResponse response) {
        if (work.promptTokens() > 0) {
            line.with("promptTokens", work.promptTokens())
                    .with("outputTokens", work.outputTokens())
                    .with("events", response.events());
        }
    }

    static void addLatencies(LogLine line, LatencyResult latencies) {
        line.with("firstPartMillis", latencies.firstChunkMillis())
                .with("longestGapMillis", latencies.longestGapMillis())
                .with("firstPartLate", latencies.firstChunkLate())
                .with("pauseTooLong", latencies.gapTooLong());
    }

    void ended(LogLine line, boolean ordinary) {
        log.end(line, ordinary);
    }
}
