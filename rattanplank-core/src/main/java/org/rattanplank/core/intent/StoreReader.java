package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.core.member.LocalPeer;
import org.rattanplank.core.member.PeerView;
import org.rattanplank.core.store.Backoff;
import org.rattanplank.core.store.StoreCommand;

/**
 * Decides when this host calls the store for the configuration.
 *
 * <p>Two hosts of each data centre read and watch, chosen by rendezvous among the live ones; two more step in one after
 * the other while those before them cannot reach the store. So the store's calls follow the number of data centres.
 * Invariant: one call at a time, each at least a drawn delay after the one before. Not thread safe.
 */
final class StoreReader {
    static final long READ_MILLIS = 5_000;

    private static final int READERS = 2;
    private static final int MAX_READERS = 4;
    private static final long FIRST_READ_SPREAD_MILLIS = 1_000;
    private static final long FIRST_RETRY_MILLIS = 2_000;
    private static final long MAX_RETRY_MILLIS = 15_000;
    private static final long STEP_IN_MILLIS = 5_000;
    private static final long REACHABLE_MILLIS = 10_000;
    private static final long CALL_TIMEOUT_MILLIS = 5_000;
    private static final long WATCH_GRACE_MILLIS = 1_000;

    private final String host;
    private final RandomGenerator random;
    private Backoff backoff = Backoff.of(READ_MILLIS, FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private Option<Long> nextReadMillis = Option.none();
    private Option<Long> readMillis = Option.none();
    private Option<Long> unreachableSinceMillis = Option.none();
    private Option<Long> lastSuccessMillis = Option.none();
    private boolean wasReader;
    private boolean asked;
    private boolean answered;
    private long nextCallId = 1;
    private long outstandingCall;
    private boolean watching;
    private boolean readSinceWatch = true;
    private long watchFrom;
    private long readGeneration;
    private long watchedGeneration;
    private long missedGeneration;
    private long missedMillis;
    private int silentWatches;

    StoreReader(String host, RandomGenerator random) {
        this.host = host;
        this.random = random;
    }

    /** Tells whether the store answered this host's first read, with success or not. */
    boolean isAnswered() {
        return answered;
    }

    boolean isReachable(long nowMillis) {
        return lastSuccessMillis.exists(success -> nowMillis - success <= REACHABLE_MILLIS);
    }

    /** How often a watch was found to have been silent while the store had news. */
    int silentWatches() {
        return silentWatches;
    }

    List<StoreCommand> tick(String key, PeerView peers, long nowMillis) {
        if (nextReadMillis.isEmpty()) {
            // All hosts of a fleet may start at once. Reading at once, they would ask the store in one burst of the
            // size
            // of the fleet; one would see it refuse calls for its rate.
            nextReadMillis = Option.some(nowMillis + random.nextLong(FIRST_READ_SPREAD_MILLIS));
        }
        boolean reader = isReader(peers, nowMillis);
        List<StoreCommand> commands = new ArrayList<>();
        if (reader && !wasReader && asked) {
            // Hosts of all data centres step in at the same moment of an outage; without a spread they call together.
            nextReadMillis = Option.some(nowMillis + random.nextLong(READ_MILLIS));
        }
        wasReader = reader;
        watching = watching && reader;
        if ((reader || !asked) && nowMillis >= nextReadMillis.get() && !isWaiting(nowMillis)) {
            if (readMillis.isDefined()) {
                failed(nowMillis);
            }
            readMillis = Option.some(nowMillis);
            asked = true;
            commands.add(new StoreCommand.Get(key));
        }
        checkWatch(nowMillis);
        if (reader && !watching && isReachable(nowMillis) && watchFrom > 0 && readSinceWatch) {
            watching = true;
            readSinceWatch = false;
            watchedGeneration = readGeneration;
            commands.add(new StoreCommand.Watch(key, watchFrom));
        }
        return commands;
    }

    long callId(StoreCommand command) {
        long id = nextCallId++;
        if (command instanceof StoreCommand.Get) {
            outstandingCall = id;
        }
        return id;
    }

    /** Takes a read that the store answered. */
    void found(long revision, long generation, long nowMillis) {
        backoff = backoff.succeeded();
        lastSuccessMillis = Option.some(nowMillis);
        readSinceWatch = true;
        settle(nowMillis);
        watchFrom = Math.max(watchFrom, revision + 1);
        readGeneration = generation;
        // Compared with what the watch said, not with what is in force: peers often tell of a change before the read
        // does, and the silent watch would never be found.
        if (watching && generation > watchedGeneration && missedGeneration < generation) {
            missedGeneration = generation;
            missedMillis = nowMillis;
        }
    }

    /** Takes the failure of a call; a late one of an earlier call changes nothing. */
    void failed(long callId, long nowMillis) {
        if (callId == outstandingCall && readMillis.isDefined()) {
            failed(nowMillis);
        }
    }

    private void failed(long nowMillis) {
        backoff = backoff.failed();
        settle(nowMillis);
    }

    private void settle(long nowMillis) {
        answered = true;
        readMillis = Option.none();
        nextReadMillis = Option.some(nowMillis + backoff.delayMillis(random));
    }

    void changed(long revision, long generation) {
        watchFrom = Math.max(watchFrom, revision + 1);
        watchedGeneration = Math.max(watchedGeneration, generation);
        if (generation >= missedGeneration) {
            missedGeneration = 0;
        }
    }

    void watchBroken(long nowMillis) {
        watching = false;
        // The watch may break because the store is going down. Hosts that watch again at once, or read without regard
        // to their backoff, keep it so: one would see a steady rate of failing calls that grows with the fleet. So a
        // read has to succeed first, and it comes at its own time unless the last one was well.
        if (backoff.failures() == 0 && readMillis.isEmpty()) {
            long soon = nowMillis + random.nextLong(1, FIRST_READ_SPREAD_MILLIS);
            nextReadMillis = nextReadMillis.map(next -> Math.min(next, soon));
        }
    }

    /** Finds a watch that says nothing although a read found a newer generation a while ago. */
    private void checkWatch(long nowMillis) {
        // A connection can go silent for good: the watch looks open and no change ever comes. Without the slow read
        // beside it, one would notice only that the generation in force stays behind.
        if (watching && missedGeneration > 0 && nowMillis - missedMillis > WATCH_GRACE_MILLIS) {
            watching = false;
            readSinceWatch = true;
            missedGeneration = 0;
            silentWatches++;
        }
    }

    private boolean isWaiting(long nowMillis) {
        return readMillis.exists(sent -> nowMillis - sent < CALL_TIMEOUT_MILLIS);
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
        List<String> ranked = Rendezvous.rank(hosts, "configuration");
        int rank = ranked.indexOf(host);
        if (rank < READERS) {
            return true;
        }
        boolean anyBefore =
                ranked.subList(0, Math.min(rank, MAX_READERS)).stream().anyMatch(reachable::contains);
        if (anyBefore || rank >= MAX_READERS) {
            unreachableSinceMillis = Option.none();
            return false;
        }
        unreachableSinceMillis = unreachableSinceMillis.orElse(Option.some(nowMillis));
        return nowMillis - unreachableSinceMillis.get() >= STEP_IN_MILLIS * (rank - READERS + 1);
    }
}
