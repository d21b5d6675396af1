package org.rattanplank.core.limit;

import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;

/**
 * Decides whether a request is admitted: requests that cannot be answered in time are rejected at once, the lowest
 * class first, and under overload no account gets more than its fair share.
 *
 * <p>Invariant: without a backlog, a request is rejected only if it could not complete before its deadline on an idle
 * target. Not thread safe; the owner confines it.
 */
public final class AdmissionControl {
    /** Backlog depth, in mean run times, above which fair shares are enforced. */
    static final double FAIR_SHARE_MIN_DEPTH = 1;

    private static final long MIN_RETRY_AFTER_MILLIS = 200;
    private static final long MAX_RETRY_AFTER_MILLIS = 30_000;
    private static final double RETRY_AFTER_JITTER = 0.5;

    private final FairShare fairShare = FairShare.empty();
    private final RandomGenerator random;

    private AdmissionControl(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Creates an admission control without recorded requests.
     *
     * @param random the source of jitter for retry times
     * @return the admission control
     */
    public static AdmissionControl of(RandomGenerator random) {
        return new AdmissionControl(random);
    }

    /**
     * Decides on one request and records it.
     *
     * @param request the request
     * @param weight the weight of its account
     * @param backlog the work ahead of the request
     * @param nowMillis the time
     * @return the rejection, or none if the request is admitted
     */
    public Option<Rejection> admit(Request request, double weight, Backlog backlog, long nowMillis) {
        fairShare.recordDemand(request.account(), weight, backlog.runMillis(), nowMillis);
        Option<Rejection> rejection = checkAdmission(request, backlog, nowMillis);
        if (rejection.isEmpty()) {
            fairShare.recordAdmission(request.account(), backlog.runMillis());
        }
        return rejection;
    }

    /**
     * Rejects a request that would miss its deadline, with the time after which the backlog will have shrunk enough.
     *
     * @param request the request
     * @param backlog the work ahead of the request
     * @param nowMillis the time
     * @return the rejection, or none if the request would complete in time
     */
    public Option<Rejection> rejectIfLate(Request request, Backlog backlog, long nowMillis) {
        double remainingMillis = request.deadlineMillis() - nowMillis;
        if (backlog.runMillis() > remainingMillis) {
            return Option.some(new Rejection("the request cannot complete before its deadline", 0));
        }
        double excessMillis = backlog.queueWaitMillis() + backlog.runMillis() - remainingMillis;
        if (excessMillis <= 0) {
            return Option.none();
        }
        return Option.some(new Rejection("the backlog exceeds the request's deadline", retryAfterMillis(excessMillis)));
    }

    private Option<Rejection> checkAdmission(Request request, Backlog backlog, long nowMillis) {
        double maxDepth = maxBacklogDepth(request.workClass());
        if (backlog.depth() > maxDepth) {
            double excessMillis = backlog.queueWaitMillis() - maxDepth * backlog.meanRunMillis();
            return Option.some(new Rejection(
                    "requests of this class are shed under the current load", retryAfterMillis(excessMillis)));
        }
        long untilWithinShareMillis =
                backlog.depth() > FAIR_SHARE_MIN_DEPTH ? fairShare.millisUntilWithinShare(request.account()) : 0;
        if (untilWithinShareMillis > 0) {
            // The account is admitted again when it is back within its share or when the backlog is empty, whichever
            // comes first.
            double backlogMillis = backlog.queueWaitMillis() - FAIR_SHARE_MIN_DEPTH * backlog.meanRunMillis();
            long soonestMillis = Math.round(Math.min(untilWithinShareMillis, backlogMillis));
            return Option.some(new Rejection("the account is over its fair share", retryAfterMillis(soonestMillis)));
        }
        return rejectIfLate(request, backlog, nowMillis);
    }

    /**
     * Returns the backlog depth, in mean run times, above which a class is shed; interactive work is shed by deadline
     * only.
     */
    private static double maxBacklogDepth(WorkClass workClass) {
        return switch (workClass) {
            case INTERACTIVE -> Double.POSITIVE_INFINITY;
            case DRAFT -> 6;
            case BACKGROUND -> 2;
        };
    }

    private long retryAfterMillis(double millis) {
        // Rejected callers that all retry at the same moment cause the next overload; symptom: rejections come in
        // waves. Jitter on the retry times spreads the retries.
        double withJitter = millis * (1 + RETRY_AFTER_JITTER * random.nextDouble());
        return Math.round(Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, withJitter)));
    }
}
