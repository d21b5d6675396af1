package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.core.host.RendezvousHashing;

/**
 * This host's view of one incarnation of a target of its region.
 *
 * <p>Invariants: an incarnation known to be leaving never gets requests again; a cold one gets no more requests than
 * its rate limit allows. A later incarnation of the same target is another object, so that no state of the earlier one
 * is applied to it. Confined to its owner's thread.
 */
public final class GatewayTarget {
    /** Slots assumed for a target that reports none. */
    private static final int DEFAULT_SLOTS = 8;

    /** Fraction of an engine's KV cache that may be planned for; the rest covers estimation errors. */
    private static final double USABLE_KV_CACHE_FRACTION = 0.9;

    /** Fraction of an engine's KV cache that is assumed to hold cached prompt parts; running requests hold the rest. */
    private static final double PREFIX_CACHE_FRACTION = 0.5;

    /** Bytes of any answer within this time show that a target is alive, regardless of failures of a single connection. */
    private static final long ACTIVITY_TIMEOUT_MILLIS = 1_000;

    /** A request is abandoned if its target has sent nothing to it, nor to any other request, for this long. */
    private static final long STALL_TIMEOUT_MILLIS = 1_500;

    private static final long SECOND_MILLIS = 1_000;

    private final TargetIncarnation incarnation;
    private final String incarnationText;
    private final long idHash;
    private final TargetHealth health = new TargetHealth();
    private final CachedPromptParts cachedParts = new CachedPromptParts();
    private final TargetStreams streams = new TargetStreams();
    private final SlidingWindowCounter coldSends = new SlidingWindowCounter(SECOND_MILLIS);
    private final TargetRateLimit rateLimit = new TargetRateLimit();
    private final TargetPause pause = new TargetPause();
    private final TargetProcess process = new TargetProcess();
    private final Map<String, InFlightWork> workByHost = new HashMap<>();
    private TargetEntry entry;
    private boolean leaving;
    private boolean terminated;
    private boolean entryUnreadable;
    private boolean hasNamedInvalidRateLimit;
    private long coldUntilMillis;
    private Option<Long> missingUntilMillis = Option.none();
    private long lastActivityMillis;
    private InFlightWork ownWork = InFlightWork.NONE;

    /** The sum of all hosts' work, maintained incrementally as each choice reads it for each target. */
    private InFlightWork totalWork = InFlightWork.NONE;

    GatewayTarget(TargetEntry entry, long nowMillis) {
        incarnation = entry.incarnation();
        incarnationText = incarnation.text();
        idHash = RendezvousHashing.hash(incarnation.id());
        lastActivityMillis = nowMillis;
        update(entry, nowMillis);
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier, which a later incarnation of the target may share
     */
    public String id() {
        return incarnation.id();
    }

    /**
     * Returns the incarnation.
     *
     * @return which incarnation of the target this is
     */
    public TargetIncarnation incarnation() {
        return incarnation;
    }

    /**
     * Returns the text of the incarnation, as in logs and messages between hosts.
     *
     * @return the text
     */
    public String incarnationText() {
        return incarnationText;
    }

    /**
     * Returns the newest entry of the target.
     *
     * @return the entry
     */
    public TargetEntry entry() {
        return entry;
    }

    /**
     * Returns the work that this host has in flight there.
     *
     * @return the work
     */
    public InFlightWork ownWork() {
        return ownWork;
    }

    /**
     * Returns the work that all hosts have in flight there, as far as reported.
     *
     * @return the work
     */
    public InFlightWork totalWork() {
        return totalWork;
    }

    /**
     * Returns whether it accepts no more requests.
     *
     * @return whether it is known to be leaving
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the number of requests that it processes concurrently.
     *
     * @return its slots
     */
    public int slots() {
        return entry.slots() > 0 ? entry.slots() : DEFAULT_SLOTS;
    }

    /**
     * Returns what this host observes of its process.
     *
     * @return the observations
     */
    public TargetProcess process() {
        return process;
    }

    /** Marks it as leaving, which is final. */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Returns whether it has terminated, as a later incarnation of the target has started.
     *
     * @return whether it has
     */
    public boolean isTerminated() {
        return terminated;
    }

    void markTerminated() {
        markLeaving();
        terminated = true;
    }

    /** Marks its entry as unreadable: it gets no requests until a readable one arrives. */
    void entryUnreadable() {
        entryUnreadable = true;
    }

    boolean update(TargetEntry newer, long nowMillis) {
        boolean newlyLeaving = newer.leaving() && !leaving;
        entry = newer;
        entryUnreadable = false;
        missingUntilMillis = Option.none();
        leaving |= newer.leaving();
        if (newer.coldMillis() > 0) {
            coldUntilMillis = Math.max(coldUntilMillis, nowMillis + newer.coldMillis());
        }
        return newlyLeaving;
    }

    /** Records until when its removed entry may be restored; a later end doesn't replace an earlier one. */
    void markMissing(long untilMillis) {
        missingUntilMillis = missingUntilMillis.orElse(Option.some(untilMillis));
    }

    boolean isMissingTooLong(long nowMillis) {
        return missingUntilMillis.exists(until -> nowMillis >= until);
    }

    void extendColdPeriod(long millis, long nowMillis) {
        coldUntilMillis = Math.max(coldUntilMillis, nowMillis + millis);
    }

    /**
     * Returns whether it is cold.
     *
     * @param nowMillis the time
     * @return whether it can sustain only a few requests a second now
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Records the rate of requests that an answer of it has named, or that it has named none.
     *
     * @param perSecond the rate for all hosts together, or none
     * @param nowMillis the time
     * @return whether that changes its limit
     */
    public boolean updateRateLimit(Option<Double> perSecond, long nowMillis) {
        return perSecond.map(named -> rateLimit.named(named, nowMillis)).getOrElse(rateLimit::ended);
    }

    /**
     * Records that an answer of it has named a limit that is none.
     *
     * @return whether it is the first such answer
     */
    public boolean recordInvalidRateLimit() {
        boolean first = !hasNamedInvalidRateLimit;
        hasNamedInvalidRateLimit = true;
        return first;
    }

    /**
     * Returns whether it has named a limit.
     *
     * @return whether its last answer named a rate of requests for all hosts together
     */
    public boolean isRateLimited() {
        return rateLimit.isActive();
    }

    TargetRateLimit rateLimit() {
        return rateLimit;
    }

    boolean hasColdCapacity(int maxPerSecond, long nowMillis) {
        return coldSends.count(nowMillis) < maxPerSecond;
    }

    boolean mayAccept(long nowMillis) {
        return !leaving && !entryUnreadable && !pause.isActive(nowMillis) && health.isReachable(nowMillis);
    }

    /** Whether it is to be preferred; after a pause that it has requested, one request at a time tries it. */
    boolean isHealthy(long nowMillis) {
        boolean isTried = pause.isOnTrial() && ownWork.requests() > 0;
        return !isTried && health.isHealthy(ownWork.requests(), nowMillis);
    }

    /**
     * Returns whether a request in flight should be abandoned because the target is unresponsive.
     *
     * @param sinceMillis when the request was sent, or when its last event was received
     * @param nowMillis the time
     * @return whether the target has sent nothing for too long
     */
    public boolean isStalled(long sinceMillis, long nowMillis) {
        return nowMillis - sinceMillis > STALL_TIMEOUT_MILLIS
                && nowMillis - lastActivityMillis > ACTIVITY_TIMEOUT_MILLIS;
    }

    /**
     * Returns the tokens of a prompt that it would have to prefill.
     *
     * @param work the work of the request
     * @return the tokens that are not assumed to be cached
     */
    public int uncachedTokens(Work work) {
        return Math.max(0, work.promptTokens() - cachedParts.cachedTokens(work.promptParts()));
    }

    /** Returns how many tokens of a prompt's shared parts are assumed to be cached. */
    int cachedTokens(List<PromptPart> sharedParts) {
        return cachedParts.cachedTokens(sharedParts);
    }

    /** Returns the rendezvous score of this target for a prefix, which is the same on every host. */
    long affinityScore(long prefixHash) {
        return RendezvousHashing.score(idHash, prefixHash);
    }

    double kvCacheShortfallTokens(long tokens, long kvCacheTokens) {
        return totalWork().kvCacheTokens() + tokens - USABLE_KV_CACHE_FRACTION * kvCacheTokens;
    }

    /**
     * Records a request that is sent to it.
     *
     * @param work the work of the request
     * @param kvCacheTokens the tokens that its KV cache holds, zero if it is no engine
     * @param nowMillis the time
     * @return the work to be passed to {@link #release}
     */
    public InFlightWork reserve(Work work, long kvCacheTokens, long nowMillis) {
        return reserve(work, uncachedTokens(work), kvCacheTokens, nowMillis);
    }

    InFlightWork reserve(Work work, int prefillTokens, long kvCacheTokens, long nowMillis) {
        InFlightWork sent =
                new InFlightWork(1, PrefillBacklog.of(work.urgency(), prefillTokens), work.exclusiveTokens());
        if (ownWork.requests() == 0) {
            // An idle target sends nothing: it can be unresponsive only from the first request on.
            lastActivityMillis = Math.max(lastActivityMillis, nowMillis);
        }
        cachedParts.recordSent(work.promptParts(), (long) (PREFIX_CACHE_FRACTION * kvCacheTokens));
        if (isCold(nowMillis)) {
            coldSends.add(nowMillis);
        }
        rateLimit.recordSend(nowMillis);
        addOwnWork(sent);
        return sent;
    }

    /** Records the memory that the backup of a stream takes up, and returns the work to be passed to {@link #release}. */
    InFlightWork reserveBackup(long kvCacheTokens) {
        InFlightWork backup = InFlightWork.ofBackup(kvCacheTokens);
        addOwnWork(backup);
        return backup;
    }

    /**
     * Records that the prefill of a request has completed.
     *
     * @param sent the reserved work
     * @return the remaining work to be passed to {@link #release}
     */
    public InFlightWork prefillCompleted(InFlightWork sent) {
        InFlightWork left = new InFlightWork(sent.requests(), PrefillBacklog.NONE, sent.kvCacheTokens());
        release(sent);
        addOwnWork(left);
        return left;
    }

    /**
     * Records that a request has ended.
     *
     * @param sent the reserved work that remains
     */
    public void release(InFlightWork sent) {
        ownWork = ownWork.minus(sent);
        totalWork = totalWork.minus(sent);
    }

    private void addOwnWork(InFlightWork sent) {
        ownWork = ownWork.plus(sent);
        totalWork = totalWork.plus(sent);
    }

    /**
     * Updates the work that another host has in flight there.
     *
     * @param host the other host
     * @param sent its work in flight
     */
    public void updateWorkOfHost(String host, InFlightWork sent) {
        InFlightWork previous = sent.isNone() ? workByHost.remove(host) : workByHost.put(host, sent);
        InFlightWork current = sent.isNone() ? InFlightWork.NONE : sent;
        totalWork = totalWork.plus(current).minus(previous == null ? InFlightWork.NONE : previous);
    }

    /**
     * Updates the work that another host has in flight there and the statistics of its streams.
     *
     * @param host the other host
     * @param sent its work in flight
     * @param stats the statistics of its streams
     */
    public void updateFromHost(String host, InFlightWork sent, StreamStats stats) {
        updateWorkOfHost(host, sent);
        streams.updateFromHost(host, stats);
    }

    /**
     * Records that bytes were received from it.
     *
     * @param nowMillis the time
     */
    public void recordActivity(long nowMillis) {
        lastActivityMillis = nowMillis;
    }

    /**
     * Records the time between two events of one of its streams.
     *
     * @param millis the time
     * @param nowMillis the time of the second event
     */
    public void recordEventInterval(double millis, long nowMillis) {
        streams.recordEventInterval(millis, nowMillis);
    }

    /**
     * Returns the streams that run there.
     *
     * @return the streams
     */
    public TargetStreams streams() {
        return streams;
    }

    /**
     * Records an answer that was not a failure of the target.
     *
     * @param nowMillis the time
     */
    public void recordSuccess(long nowMillis) {
        health.recordSuccess();
        pause.recordAnswer(nowMillis);
    }

    /**
     * Records a failure.
     *
     * @param nowMillis the time
     */
    public void recordFailure(long nowMillis) {
        health.recordFailure(nowMillis);
    }

    /**
     * Records that no connection could be established.
     *
     * @param nowMillis the time
     */
    public void recordUnreachable(long nowMillis) {
        health.recordUnreachable(nowMillis);
    }

    /**
     * Records that it had no capacity, and sends it nothing for a while.
     *
     * @param backOffMillis how long this host sends it nothing
     * @param nowMillis the time
     */
    public void backOff(long backOffMillis, long nowMillis) {
        pause.start(backOffMillis, nowMillis);
    }

    /**
     * Records that it wants nothing from this host for some time.
     *
     * @param millis the time
     * @param nowMillis the time of its answer
     * @return whether it had requested no pause that still lasts
     */
    public boolean requestPause(long millis, long nowMillis) {
        return pause.request(millis, nowMillis);
    }

    /**
     * Returns how much longer it wants nothing from this host.
     *
     * @param nowMillis the time
     * @return milliseconds, zero if it has requested no pause that still lasts
     */
    public long requestedPauseMillis(long nowMillis) {
        return pause.requestedMillis(nowMillis);
    }
}
