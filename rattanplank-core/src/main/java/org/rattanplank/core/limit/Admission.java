package org.rattanplank.core.limit;

import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;

/**
 * Decides whether there is room for a request: what cannot be answered in time is refused at once, the lowest class
 * first, and under overload no account gets more than its fair share.
 *
 * <p>Invariant: without a backlog nothing is refused but what could not end before its deadline on an idle target.
 * Confined to whoever owns it; it takes no lock.
 */
public final class Admission {
    /** The backlog, in average runs, above which accounts are held to their fair shares. */
    static final double FAIR_SHARE_DEPTH = 1;

    private static final long SHORTEST_RETRY_MILLIS = 200;
    private static final long LONGEST_RETRY_MILLIS = 30_000;
    private static final double RETRY_SPREAD = 0.5;

    private final FairShare shares = FairShare.empty();
    private final RandomGenerator random;

    private Admission(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Makes an admission that has seen no request.
     *
     * @param random the source of the spread of retry times
     * @return the admission
     */
    public static Admission of(RandomGenerator random) {
        return new Admission(random);
    }

    /**
     * Decides on one request and takes note of it.
     *
     * @param request the request
     * @param weight the weight of its account
     * @param backlog the work in its way
     * @param nowMillis the time
     * @return why there is no room, or none if it may go on
     */
    public Option<Refusal> admit(Request request, double weight, Backlog backlog, long nowMillis) {
        shares.demanded(request.account(), weight, backlog.runMillis(), nowMillis);
        Option<Refusal> refusal = refusal(request, backlog, nowMillis);
        if (refusal.isEmpty()) {
            shares.admitted(request.account(), backlog.runMillis());
        }
        return refusal;
    }

    /**
     * Refuses a request that would be late, with the time by which the backlog will have shrunk enough.
     *
     * @param request the request
     * @param backlog the work in its way
     * @param nowMillis the time
     * @return the refusal, or none if the request would end in time
     */
    public Option<Refusal> late(Request request, Backlog backlog, long nowMillis) {
        double leftMillis = request.deadlineMillis() - nowMillis;
        if (backlog.runMillis() > leftMillis) {
            return Option.some(new Refusal("it cannot end before its deadline", 0));
        }
        double overMillis = backlog.waitMillis() + backlog.runMillis() - leftMillis;
        if (overMillis <= 0) {
            return Option.none();
        }
        return Option.some(new Refusal("the backlog is longer than its deadline", comeBack(overMillis)));
    }

    private Option<Refusal> refusal(Request request, Backlog backlog, long nowMillis) {
        double bound = longestBacklog(request.workClass());
        if (backlog.depth() > bound) {
            double overMillis = backlog.waitMillis() - bound * backlog.meanRunMillis();
            return Option.some(new Refusal("work of this class waits for less load", comeBack(overMillis)));
        }
        long overShareMillis = backlog.depth() > FAIR_SHARE_DEPTH ? shares.overMillis(request.account()) : 0;
        if (overShareMillis > 0) {
            // The account may go on when it is back at its share, or when the backlog is gone, whichever comes first.
            double backlogMillis = backlog.waitMillis() - FAIR_SHARE_DEPTH * backlog.meanRunMillis();
            long soonestMillis = Math.round(Math.min(overShareMillis, backlogMillis));
            return Option.some(new Refusal("the account is over its fair share", comeBack(soonestMillis)));
        }
        return late(request, backlog, nowMillis);
    }

    /** The backlog, in average runs, above which a class is shed; interactive work is shed by its deadline alone. */
    private static double longestBacklog(WorkClass workClass) {
        return switch (workClass) {
            case INTERACTIVE -> Double.POSITIVE_INFINITY;
            case DRAFT -> 6;
            case BACKGROUND -> 2;
        };
    }

    private long comeBack(double millis) {
        // Refused callers that all come back at one moment are the next overload; one would notice refusals in waves.
        // Spreading the times that they are told keeps them apart.
        double spread = millis * (1 + RETRY_SPREAD * random.nextDouble());
        return Math.round(Math.max(SHORTEST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, spread)));
    }
}
