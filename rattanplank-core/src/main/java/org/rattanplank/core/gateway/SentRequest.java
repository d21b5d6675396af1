package org.rattanplank.core.gateway;

/**
 * A request under way at a target, accounted for from its sending to its end.
 *
 * <p>Invariant: what it reserves at the target is given back once. Confined to its owner's thread.
 */
public final class SentRequest {
    /** The part of its time that a stream should not need: its last events and its way back take some of it. */
    private static final double RESERVED_TIME_FRACTION = 0.25;

    /** A stream that has outlived its caller's estimate is taken to go on for this part of what it has made. */
    private static final double RESIDUAL_FRACTION = 0.35;

    /** The part of the present pace that an engine may still come to at its best. */
    private static final double BEST_INTER_TOKEN_FRACTION = 0.4;

    /** Reading that takes longer changes where other hosts should send theirs, before they are told in turn. */
    private static final double LARGE_PREFILL_MILLIS = 50;

    private final GatewayTarget target;
    private final ServiceRule service;
    private final LatencyModel model;
    private final Work work;
    private final long sentAtMillis;
    private final int requestsAhead;
    private final double prefillMillis;
    private final double expectedTokens;
    private final double expectedCapacityWaitMillis;
    private SentWork reserved;
    private boolean started;
    private long startedAtMillis;
    private long lastEventAtMillis;
    private int events;
    private boolean released;

    private SentRequest(TargetChooser chooser, Choice choice, ServiceRule service, Work work, long nowMillis) {
        target = choice.target();
        this.service = service;
        this.work = work;
        model = chooser.model(service.name());
        sentAtMillis = nowMillis;
        requestsAhead = target.all().requests();
        prefillMillis = service.isModel() ? choice.readTokens() * model.readMillisPerToken(nowMillis) : 0;
        if (service.isModel()) {
            model.promptSent(choice.readTokens(), work.urgency());
        }
        expectedTokens = target.all().waiting().ahead(work.urgency()) + (double) choice.readTokens();
        expectedCapacityWaitMillis = service.isModel() ? chooser.roomMillis(target, service, work) : 0;
        reserved = target.reserve(work, choice.readTokens(), service.memoryTokens(), nowMillis);
    }

    /**
     * Takes note of a request that is sent.
     *
     * @param chooser what chose its target
     * @param choice its target, and what was expected there
     * @param service the service of the target
     * @param work what it asks
     * @param nowMillis the time
     * @return the account of it
     */
    public static SentRequest of(TargetChooser chooser, Choice choice, ServiceRule service, Work work, long nowMillis) {
        return new SentRequest(chooser, choice, service, work, nowMillis);
    }

    /**
     * Whether the region's other hosts should hear of it at once.
     *
     * @return whether its prompt takes long to read
     */
    public boolean isLarge() {
        return prefillMillis >= LARGE_PREFILL_MILLIS;
    }

    /**
     * Takes note of a part of its answer.
     *
     * @param success whether it is part of a success
     * @param nowMillis the time
     */
    public void part(boolean success, long nowMillis) {
        if (started && service.isModel()) {
            target.eventAfter(nowMillis - (double) lastEventAtMillis, nowMillis);
        }
        lastEventAtMillis = nowMillis;
        events++;
        if (started || released) {
            return;
        }
        started = true;
        reserved = target.started(reserved);
        if (success && service.isModel()) {
            startedAtMillis = nowMillis;
            target.streams().add(this);
            model.firstEventTook(
                    expectedTokens, work.urgency(), nowMillis - sentAtMillis - expectedCapacityWaitMillis, nowMillis);
        }
    }

    /**
     * Takes note of the end of its answer.
     *
     * @param success whether it is a success
     * @param nowMillis the time
     */
    public void ended(boolean success, long nowMillis) {
        if (success && service.isModel()) {
            model.generationTook(nowMillis - (double) startedAtMillis);
        } else if (success) {
            model.answerTook(requestsAhead, target.slots(), nowMillis - (double) sentAtMillis);
        }
        release();
    }

    /** Whether it would end too late at a pace, though not at the best that may be hoped for. */
    boolean isLagging(double paceMillis, long nowMillis) {
        if (service.eventTokens() <= 0 || work.remainingMillis() <= 0) {
            return false;
        }
        double expectedEvents = work.outputTokens() / (double) service.eventTokens();
        double takesMillis = paceMillis * Math.max(1, Math.max(expectedEvents - events, RESIDUAL_FRACTION * events));
        double leftMillis = sentAtMillis + (1 - RESERVED_TIME_FRACTION) * work.remainingMillis() - nowMillis;
        return takesMillis > leftMillis && BEST_INTER_TOKEN_FRACTION * takesMillis < leftMillis;
    }

    /** Gives back what it holds at its target, once. */
    public void release() {
        if (!released) {
            released = true;
            target.streams().remove(this);
            target.release(reserved);
        }
    }
}
