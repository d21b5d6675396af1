package org.rattanplank.bench.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;

import org.HdrHistogram.Histogram;
import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;
import org.rattanplank.core.request.Answer;

/**
 * Simulates callers that make bookings and retry a key when the response requests it or when their host is killed; a
 * fraction of the bookings is also retried unnecessarily.
 *
 * <p>Invariant: a run is counted when the target executes it, whether or not its result is received. Not thread safe.
 */
final class BookingLoad {
    static final Answer RESPONSE = Answer.of(200, "application/json", new byte[64]);
    static final int BOOKINGS_PER_SECOND = 200;
    static final int RETRIED_PERCENT = 5;
    static final long TARGET_FIXED_LATENCY_MICROS = 20_000;
    static final long TARGET_MEAN_EXTRA_LATENCY_MICROS = 30_000;

    private static final long RETRY_AFTER_MICROS = 30_000;
    private static final int MAX_ATTEMPTS = 6;
    private static final int RANDOM_BITS = 62;

    private final VirtualTime time;
    private final ClaimStrategy strategy;
    private final List<String> liveHosts;
    private final Histogram addedMicros = new Histogram(60_000_000L, 3);
    private final Map<ClaimKey, Integer> runCounts = new HashMap<>();
    private final Map<String, List<Runnable>> inFlight = new HashMap<>();
    private final Set<ClaimKey> answered = new HashSet<>();
    private final Set<ClaimKey> unknown = new HashSet<>();
    private int bookings;
    private int attemptCount;

    BookingLoad(VirtualTime time, ClaimStrategy strategy, List<String> hosts) {
        this.time = time;
        this.strategy = strategy;
        liveHosts = new ArrayList<>(hosts);
    }

    void book() {
        bookings++;
        long random = time.random().nextLong() >>> (Long.SIZE - RANDOM_BITS);
        UUID uuid = new UUID((time.nowMillis() << 16) | 0x7000L, Long.MIN_VALUE | random);
        ClaimKey key = ClaimKey.of("floor", uuid.toString());
        attempt(key, 1);
        if (time.random().nextInt(100) < RETRIED_PERCENT) {
            time.after(RETRY_AFTER_MICROS, () -> attempt(key, MAX_ATTEMPTS));
        }
    }

    void kill(String host) {
        liveHosts.remove(host);
        strategy.kill(host);
        List<Runnable> interrupted = inFlight.getOrDefault(host, List.of());
        inFlight.remove(host);
        interrupted.forEach(Runnable::run);
    }

    private void attempt(ClaimKey key, int attemptNumber) {
        String host = liveHosts.get(time.random().nextInt(liveHosts.size()));
        String requestId = "r" + attemptCount++;
        long startMicros = time.nowMicros();
        Runnable onHostLost = () -> time.after(RETRY_AFTER_MICROS, () -> attempt(key, attemptNumber));
        inFlight.computeIfAbsent(host, same -> new ArrayList<>()).add(onHostLost);
        strategy.open(host, key, requestId, decision -> {
            if (decision instanceof ClaimDecision.Run) {
                addedMicros.recordValue(time.nowMicros() - startMicros);
                run(host, key, requestId, onHostLost);
                return;
            }
            removeInFlight(host, onHostLost);
            handleDecision(key, attemptNumber, decision);
        });
    }

    private void run(String host, ClaimKey key, String requestId, Runnable onHostLost) {
        time.afterRandomDelay(TARGET_FIXED_LATENCY_MICROS, TARGET_MEAN_EXTRA_LATENCY_MICROS, () -> {
            runCounts.merge(key, 1, Integer::sum);
            if (liveHosts.contains(host)) {
                removeInFlight(host, onHostLost);
                answered.add(key);
                strategy.settle(host, key, requestId, new ClaimResult.Answered(RESPONSE));
            }
        });
    }

    private void removeInFlight(String host, Runnable onHostLost) {
        inFlight.getOrDefault(host, new ArrayList<>()).remove(onHostLost);
    }

    private void handleDecision(ClaimKey key, int attemptNumber, ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Replay) {
            answered.add(key);
        } else if (decision instanceof ClaimDecision.Unknown) {
            unknown.add(key);
        } else if (decision instanceof ClaimDecision.NotRun notRun && attemptNumber < MAX_ATTEMPTS) {
            time.after(notRun.retryAfterMillis() * 1_000, () -> attempt(key, attemptNumber + 1));
        }
    }

    /** Returns the result of the scenario, for one line of output. */
    StrategyResult result(long storeWrites) {
        int ranTwice =
                (int) runCounts.values().stream().filter(count -> count > 1).count();
        unknown.removeAll(answered);
        return new StrategyResult(
                addedMicros.getValueAtPercentile(50) / 1_000.0,
                addedMicros.getValueAtPercentile(99) / 1_000.0,
                bookings,
                answered.size(),
                unknown.size(),
                ranTwice,
                storeWrites);
    }
}
