package org.rattanplank.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanplank.core.host.Rendezvous;

/**
 * What this host believes of one run of a target of its region.
 *
 * <p>Invariants: a run known to leave never takes work again; a cold one gets no more than its gate lets through. A
 * later run of the same target is another object, so that nothing of the earlier one is believed of it. Confined to its
 * owner's thread.
 */
public final class GatewayTarget {
    /** A target that reports no slots is taken to work on so many requests at once. */
    private static final int DEFAULT_SLOTS = 8;

    /** The part of an engine's memory that may be planned for; the rest is for what estimates miss. */
    private static final double USABLE_KV_CACHE_FRACTION = 0.9;

    /** The part of an engine's memory that is taken to keep parts of prompts; running requests hold the rest. */
    private static final double PREFIX_CACHE_FRACTION = 0.5;

    /** Bytes of any answer so recently show that a target lives, whatever one connection does. */
    private static final long ACTIVITY_TIMEOUT_MILLIS = 1_000;

    private static final long SECOND_MILLIS = 1_000;

    private final TargetRun run;
    private final String runText;
    private final long idHash;
    private final TargetHealth health = new TargetHealth();
    private final CachedPromptParts cachedParts = new CachedPromptParts();
    private final TargetStreams streams = new TargetStreams();
    private final SlidingWindowCounter coldSends = new SlidingWindowCounter(SECOND_MILLIS);
    private final Map<String, SentWork> workByHost = new HashMap<>();
    private TargetEntry entry;
    private boolean leaving;
    private boolean terminated;
    private boolean entryUnreadable;
    private long coldUntilMillis;
    private long missingSinceMillis = -1;
    private long lastActivityMillis;
    private long backOffUntilMillis;
    private SentWork own = SentWork.NONE;

    /** The sum of all hosts' work, kept rather than worked out: each choice asks for it of each target. */
    private SentWork all = SentWork.NONE;

    GatewayTarget(TargetEntry entry, long nowMillis) {
        run = entry.run();
        runText = run.text();
        idHash = Rendezvous.hash(run.id());
        lastActivityMillis = nowMillis;
        update(entry, nowMillis);
    }

    /**
     * The identifier.
     *
     * @return the identifier, which a later run of the target may have as well
     */
    public String id() {
        return run.id();
    }

    /**
     * The run.
     *
     * @return which run of the target this is
     */
    public TargetRun run() {
        return run;
    }

    /**
     * The run by its text, as logs and other hosts name it.
     *
     * @return the text
     */
    public String runText() {
        return runText;
    }

    /**
     * What the target says of itself.
     *
     * @return the newest entry
     */
    public TargetEntry entry() {
        return entry;
    }

    /**
     * What this host has under way there.
     *
     * @return the work
     */
    public SentWork own() {
        return own;
    }

    /**
     * What is under way there from all hosts, as far as known.
     *
     * @return the work
     */
    public SentWork all() {
        return all;
    }

    /**
     * Whether it takes no more work.
     *
     * @return whether it is known to leave
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * The requests that it works on at once.
     *
     * @return its slots
     */
    public int slots() {
        return entry.slots() > 0 ? entry.slots() : DEFAULT_SLOTS;
    }

    /** Takes note that it leaves, which is never taken back. */
    public void leave() {
        leaving = true;
    }

    /**
     * Whether it is over, as a later run of the target has begun.
     *
     * @return whether it is
     */
    public boolean hasEnded() {
        return terminated;
    }

    void markTerminated() {
        leave();
        terminated = true;
    }

    /** Takes note that its entry can't be read any more: it gets no work until one can be read again. */
    void entryUnreadable() {
        entryUnreadable = true;
    }

    boolean update(TargetEntry newer, long nowMillis) {
        boolean newlyLeaving = newer.leaving() && !leaving;
        entry = newer;
        entryUnreadable = false;
        missingSinceMillis = -1;
        leaving |= newer.leaving();
        if (newer.coldMillis() > 0) {
            coldUntilMillis = Math.max(coldUntilMillis, nowMillis + newer.coldMillis());
        }
        return newlyLeaving;
    }

    void markMissing(long nowMillis) {
        if (missingSinceMillis < 0) {
            missingSinceMillis = nowMillis;
        }
    }

    boolean isMissingFor(long millis, long nowMillis) {
        return missingSinceMillis >= 0 && nowMillis - missingSinceMillis >= millis;
    }

    void extendColdPeriod(long millis, long nowMillis) {
        coldUntilMillis = Math.max(coldUntilMillis, nowMillis + millis);
    }

    /**
     * Tells whether it is cold.
     *
     * @param nowMillis the time
     * @return whether it bears only few requests a second now
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    boolean hasColdCapacity(int mostPerSecond, long nowMillis) {
        return coldSends.count(nowMillis) < mostPerSecond;
    }

    boolean mayAccept(long nowMillis) {
        return !leaving && !entryUnreadable && nowMillis >= backOffUntilMillis && health.isReachable(nowMillis);
    }

    boolean isHealthy(long nowMillis) {
        return health.isHealthy(own.requests(), nowMillis);
    }

    /**
     * Tells whether nothing has come from it for a while though it was asked.
     *
     * @param nowMillis the time
     * @return whether it is silent
     */
    public boolean isSilent(long nowMillis) {
        return nowMillis - lastActivityMillis > ACTIVITY_TIMEOUT_MILLIS;
    }

    /**
     * The tokens of a prompt that it would have to read.
     *
     * @param work the request
     * @return tokens that aren't believed cached
     */
    public int uncachedTokens(Work work) {
        return Math.max(0, work.promptTokens() - cachedParts.cachedTokens(work.parts()));
    }

    /** How many tokens of a prompt's shared parts it keeps, as far as believed. */
    int cachedTokens(List<PromptPart> sharedParts) {
        return cachedParts.cachedTokens(sharedParts);
    }

    /** Where it stands in the order of targets for a part of prompts, which is the same on every host. */
    long affinityScore(long partHash) {
        return Rendezvous.mix(idHash ^ partHash);
    }

    double kvCacheShortfallTokens(Work work, long memoryTokens) {
        return all().memoryTokens() + work.ownTokens() - USABLE_KV_CACHE_FRACTION * memoryTokens;
    }

    /**
     * Takes note of a request that goes there.
     *
     * @param work the request
     * @param memoryTokens the tokens that its memory holds, zero if it is no engine
     * @param nowMillis the time
     * @return the work to be given back by {@link #release}
     */
    public SentWork reserve(Work work, long memoryTokens, long nowMillis) {
        return reserve(work, uncachedTokens(work), memoryTokens, nowMillis);
    }

    SentWork reserve(Work work, int readTokens, long memoryTokens, long nowMillis) {
        SentWork sent = new SentWork(1, WaitingTokens.of(work.urgency(), readTokens), work.ownTokens());
        if (own.requests() == 0) {
            // An idle target has nothing to say: its silence counts from the first question on.
            lastActivityMillis = Math.max(lastActivityMillis, nowMillis);
        }
        cachedParts.recordSent(work.parts(), (long) (PREFIX_CACHE_FRACTION * memoryTokens));
        if (isCold(nowMillis)) {
            coldSends.add(nowMillis);
        }
        addOwnWork(sent);
        return sent;
    }

    /**
     * Takes note that a request's prompt has been read.
     *
     * @param sent what was reserved
     * @return what is left to be given back
     */
    public SentWork started(SentWork sent) {
        SentWork left = new SentWork(sent.requests(), WaitingTokens.NONE, sent.memoryTokens());
        release(sent);
        addOwnWork(left);
        return left;
    }

    /**
     * Takes note that a request has ended.
     *
     * @param sent what was reserved and is left
     */
    public void release(SentWork sent) {
        own = own.minus(sent);
        all = all.minus(sent);
    }

    private void addOwnWork(SentWork sent) {
        own = own.plus(sent);
        all = all.plus(sent);
    }

    /**
     * Takes note of another host's work there.
     *
     * @param host the other host
     * @param sent what it has under way
     */
    public void sentByOther(String host, SentWork sent) {
        SentWork before = sent.requests() == 0 ? workByHost.remove(host) : workByHost.put(host, sent);
        SentWork now = sent.requests() == 0 ? SentWork.NONE : sent;
        all = all.plus(now).minus(before == null ? SentWork.NONE : before);
    }

    /**
     * Takes note of another host's work there and of its streams.
     *
     * @param host the other host
     * @param sent what it has under way
     * @param pace how its streams get on
     */
    public void toldByOther(String host, SentWork sent, StreamPace pace) {
        sentByOther(host, sent);
        streams.toldByOther(host, pace);
    }

    /**
     * Takes note of bytes that came from it.
     *
     * @param nowMillis the time
     */
    public void heard(long nowMillis) {
        lastActivityMillis = nowMillis;
    }

    /**
     * Takes note of the time between two events of one of its streams.
     *
     * @param millis the time
     * @param nowMillis the time at which the second came
     */
    public void eventAfter(double millis, long nowMillis) {
        streams.recordEventInterval(millis, nowMillis);
    }

    /**
     * The streams that run there.
     *
     * @return what is known of them
     */
    public TargetStreams streams() {
        return streams;
    }

    /** Takes note of an answer that was no failure of the target. */
    public void succeeded() {
        health.recordSuccess();
    }

    /**
     * Takes note of a failure.
     *
     * @param nowMillis the time
     */
    public void failed(long nowMillis) {
        health.recordFailure(nowMillis);
    }

    /**
     * Takes note that no connection could be had.
     *
     * @param nowMillis the time
     */
    public void unreachable(long nowMillis) {
        health.recordUnreachable(nowMillis);
    }

    /**
     * Takes note that it had no room.
     *
     * @param pauseMillis how long it gets nothing from here
     * @param nowMillis the time
     */
    public void full(long pauseMillis, long nowMillis) {
        backOffUntilMillis = nowMillis + pauseMillis;
    }
}
