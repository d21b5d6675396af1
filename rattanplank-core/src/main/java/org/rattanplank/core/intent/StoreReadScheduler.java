package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.core.member.LocalPeer;
import org.rattanplank.core.member.PeerView;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.core.store.StoreCommand;

/**
 * Schedules the store calls of this host for the configuration.
 *
 * <p>In each data centre, rendezvous hashing assigns two live hosts to read and watch; two more take over one after the
 * other while those ranked before them cannot reach the store. The number of store calls therefore grows with the
 * number of data centres and not with the number of hosts. Invariant: one read at a time, each at least a random delay
 * after the previous one. Not thread safe.
 */
final class StoreReadScheduler {
    static final long READ_INTERVAL_MILLIS = 5_000;

    private static final int READERS = 2;
    private static final int MAX_READERS = 4;
    private static final long FIRST_READ_SPREAD_MILLIS = 1_000;
    private static final long FIRST_RETRY_MILLIS = 2_000;
    private static final long MAX_RETRY_MILLIS = 15_000;
    private static final long TAKEOVER_DELAY_MILLIS = 5_000;
    private static final long REACHABLE_WINDOW_MILLIS = 10_000;
    private static final long CALL_TIMEOUT_MILLIS = 5_000;
    private static final long WATCH_GRACE_MILLIS = 1_000;

    private final String host;
    private final RandomGenerator random;
    private Backoff backoff = Backoff.of(READ_INTERVAL_MILLIS, FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private Option<Long> nextReadMillis = Option.none();
    private Option<Long> readSentMillis = Option.none();
    private Option<Long> unreachableSinceMillis = Option.none();
    private Option<Long> lastSuccessMillis = Option.none();
    private boolean wasReader;
    private boolean firstReadSent;
    private boolean firstReadEnded;
    private long nextCallId = 1;
    private long pendingReadCallId;
    private boolean watching;
    private boolean readSinceWatch = true;
    private long watchFromRevision;
    private long readGeneration;
    private long watchedGeneration;
    private long missedGeneration;
    private long missedSinceMillis;
    private int unresponsiveWatches;

    StoreReadScheduler(String host, RandomGenerator random) {
        this.host = host;
        this.random = random;
    }

    /** Returns whether this host's first read has ended, successfully or not. */
    boolean hasFirstReadEnded() {
        return firstReadEnded;
    }

    boolean isReachable(long nowMillis) {
        return lastSuccessMillis.exists(success -> nowMillis - success <= REACHABLE_WINDOW_MILLIS);
    }

    /** Returns how often a watch was detected as unresponsive while the store had newer data. */
    int unresponsiveWatches() {
        return unresponsiveWatches;
    }

    List<StoreCommand> tick(String key, PeerView peers, long nowMillis) {
        if (nextReadMillis.isEmpty()) {
            // All hosts of a fleet may start together. If they read at once, the store would get one burst of calls
            // from the whole fleet; symptom: the store rejects calls because of its rate limit.
            nextReadMillis = Option.some(nowMillis + random.nextLong(FIRST_READ_SPREAD_MILLIS));
        }
        boolean reader = isReader(peers, nowMillis);
        List<StoreCommand> commands = new ArrayList<>();
        if (reader && !wasReader && firstReadSent) {
            // Hosts of all data centres take over at the same moment of an outage; a random delay keeps them from
            // calling together.
            nextReadMillis = Option.some(nowMillis + random.nextLong(READ_INTERVAL_MILLIS));
        }
        wasReader = reader;
        watching = watching && reader;
        if ((reader || !firstReadSent) && nowMillis >= nextReadMillis.get() && !isReadPending(nowMillis)) {
            if (readSentMillis.isDefined()) {
                readFailed(nowMillis);
            }
            readSentMillis = Option.some(nowMillis);
            firstReadSent = true;
            commands.add(new StoreCommand.Get(key));
        }
        checkWatch(nowMillis);
        if (reader && !watching && isReachable(nowMillis) && watchFromRevision > 0 && readSinceWatch) {
            watching = true;
            readSinceWatch = false;
            watchedGeneration = readGeneration;
            commands.add(new StoreCommand.Watch(key, watchFromRevision));
        }
        return commands;
    }

    long callId(StoreCommand command) {
        long id = nextCallId++;
        if (command instanceof StoreCommand.Get) {
            pendingReadCallId = id;
        }
        return id;
    }

    /** Records a successful read. */
    void readSucceeded(long revision, long generation, long nowMillis) {
        backoff = backoff.succeeded();
        lastSuccessMillis = Option.some(nowMillis);
        readSinceWatch = true;
        scheduleNextRead(nowMillis);
        if (revision + 1 < watchFromRevision) {
            // The store has come back from an older copy: the watch would miss its changes until it has passed the old
            // revision.
            watching = false;
        }
        watchFromRevision = revision + 1;
        readGeneration = generation;
        // Compares with the generation from the watch, not with the active one: peers often deliver a change before the
        // read does, and an unresponsive watch would never be detected.
        if (watching && generation > watchedGeneration && missedGeneration < generation) {
            missedGeneration = generation;
            missedSinceMillis = nowMillis;
        }
    }

    /** Records the failure of a call; a late failure of an earlier call has no effect. */
    void readFailed(long callId, long nowMillis) {
        if (callId == pendingReadCallId && readSentMillis.isDefined()) {
            readFailed(nowMillis);
        }
    }

    private void readFailed(long nowMillis) {
        backoff = backoff.failed();
        scheduleNextRead(nowMillis);
    }

    private void scheduleNextRead(long nowMillis) {
        firstReadEnded = true;
        readSentMillis = Option.none();
        nextReadMillis = Option.some(nowMillis + backoff.delayMillis(random));
    }

    void watchUpdated(long revision, long generation) {
        watchFromRevision = Math.max(watchFromRevision, revision + 1);
        watchedGeneration = Math.max(watchedGeneration, generation);
        if (generation >= missedGeneration) {
            missedGeneration = 0;
        }
    }

    void watchFailed(long nowMillis) {
        watching = false;
        // The watch may fail because the store is failing. Hosts that reopen it at once, or read without backoff, would
        // keep the store overloaded; symptom: a steady rate of failing calls that grows with the fleet. A read must
        // succeed first, and it is brought forward only if the last read succeeded.
        if (backoff.failures() == 0 && readSentMillis.isEmpty()) {
            long soonMillis = nowMillis + random.nextLong(1, FIRST_READ_SPREAD_MILLIS);
            nextReadMillis = nextReadMillis.map(next -> Math.min(next, soonMillis));
        }
    }

    /** Closes a watch that delivers nothing although a read returned a newer generation before the grace period. */
    private void checkWatch(long nowMillis) {
        // A connection can hang: the watch looks open but delivers no changes. Without the periodic read, the only
        // symptom is that the active generation stays outdated.
        if (watching && missedGeneration > 0 && nowMillis - missedSinceMillis > WATCH_GRACE_MILLIS) {
            watching = false;
            readSinceWatch = true;
            missedGeneration = 0;
            unresponsiveWatches++;
        }
    }

    private boolean isReadPending(long nowMillis) {
        return readSentMillis.exists(sent -> nowMillis - sent < CALL_TIMEOUT_MILLIS);
    }

    private boolean isReader(PeerView peers, long nowMillis) {
        TreeSet<String> hosts = new TreeSet<>();
        TreeSet<String> reachable = new TreeSet<>();
        for (LocalPeer peer : peers.live()) {
            hosts.add(peer.host());
            if (peer.storeReachable()) {
                reachable.add(peer.host());
            }
        }
        hosts.add(host);
        List<String> ranked = RendezvousHashing.rank(hosts, "configuration");
        int rank = ranked.indexOf(host);
        if (rank < READERS) {
            return true;
        }
        boolean anyRankedBeforeReachable =
                ranked.subList(0, Math.min(rank, MAX_READERS)).stream().anyMatch(reachable::contains);
        if (anyRankedBeforeReachable || rank >= MAX_READERS) {
            unreachableSinceMillis = Option.none();
            return false;
        }
        unreachableSinceMillis = unreachableSinceMillis.orElse(Option.some(nowMillis));
        return nowMillis - unreachableSinceMillis.get() >= TAKEOVER_DELAY_MILLIS * (rank - READERS + 1);
    }
}
