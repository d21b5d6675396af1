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
 * Callers that book parts, repeat a key when told to or when their host dies, and sometimes without need.
 *
 * <p>Invariant: the ledger counts a run when the target runs, whoever learns of it. Not thread safe.
 */
final class BookingLoad {
    static final Answer ANSWER = Answer.of(200, "application/json", new byte[64]);
    static final int PER_SECOND = 200;
    static final int REPEATED_PERCENT = 5;
    static final long TARGET_FIXED_MICROS = 20_000;
    static final long TARGET_MEAN_MORE_MICROS = 30_000;

    private static final long REPEAT_AFTER_MICROS = 30_000;
    private static final int MAX_ASKS = 6;
    private static final int RANDOM_BITS = 62;

    private final VirtualTime time;
    private final ClaimWay way;
    private final List<String> live;
    private final Histogram addedMicros = new Histogram(60_000_000L, 3);
    private final Map<ClaimKey, Integer> runs = new HashMap<>();
    private final Map<String, List<Runnable>> inFlight = new HashMap<>();
    private final Set<ClaimKey> answered = new HashSet<>();
    private final Set<ClaimKey> unknown = new HashSet<>();
    private int bookings;
    private int asks;

    BookingLoad(VirtualTime time, ClaimWay way, List<String> hosts) {
        this.time = time;
        this.way = way;
        live = new ArrayList<>(hosts);
    }

    void book() {
        bookings++;
        long random = time.random().nextLong() >>> (Long.SIZE - RANDOM_BITS);
        UUID uuid = new UUID((time.nowMillis() << 16) | 0x7000L, Long.MIN_VALUE | random);
        ClaimKey key = ClaimKey.of("floor", uuid.toString());
        ask(key, 1);
        if (time.random().nextInt(100) < REPEATED_PERCENT) {
            time.after(REPEAT_AFTER_MICROS, () -> ask(key, MAX_ASKS));
        }
    }

    void kill(String host) {
        live.remove(host);
        way.kill(host);
        List<Runnable> lost = inFlight.getOrDefault(host, List.of());
        inFlight.remove(host);
        lost.forEach(Runnable::run);
    }

    private void ask(ClaimKey key, int ask) {
        String host = live.get(time.random().nextInt(live.size()));
        String requestId = "r" + asks++;
        long startMicros = time.nowMicros();
        Runnable whenLost = () -> time.after(REPEAT_AFTER_MICROS, () -> ask(key, ask));
        inFlight.computeIfAbsent(host, same -> new ArrayList<>()).add(whenLost);
        way.open(host, key, requestId, decision -> {
            if (decision instanceof ClaimDecision.Run) {
                addedMicros.recordValue(time.nowMicros() - startMicros);
                run(host, key, requestId, whenLost);
                return;
            }
            finished(host, whenLost);
            ended(key, ask, decision);
        });
    }

    private void run(String host, ClaimKey key, String requestId, Runnable whenLost) {
        time.afterAbout(TARGET_FIXED_MICROS, TARGET_MEAN_MORE_MICROS, () -> {
            runs.merge(key, 1, Integer::sum);
            if (live.contains(host)) {
                finished(host, whenLost);
                answered.add(key);
                way.settle(host, key, requestId, new ClaimResult.Answered(ANSWER));
            }
        });
    }

    private void finished(String host, Runnable whenLost) {
        inFlight.getOrDefault(host, new ArrayList<>()).remove(whenLost);
    }

    private void ended(ClaimKey key, int ask, ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Replay) {
            answered.add(key);
        } else if (decision instanceof ClaimDecision.Unknown) {
            unknown.add(key);
        } else if (decision instanceof ClaimDecision.NotRun notRun && ask < MAX_ASKS) {
            time.after(notRun.retryAfterMillis() * 1_000, () -> ask(key, ask + 1));
        }
    }

    /** How the run ended, for one line of output. */
    WayResult result(long storeWrites) {
        int ranTwice = (int) runs.values().stream().filter(count -> count > 1).count();
        unknown.removeAll(answered);
        return new WayResult(
                addedMicros.getValueAtPercentile(50) / 1_000.0,
                addedMicros.getValueAtPercentile(99) / 1_000.0,
                bookings,
                answered.size(),
                unknown.size(),
                ranTwice,
                storeWrites);
    }
}
