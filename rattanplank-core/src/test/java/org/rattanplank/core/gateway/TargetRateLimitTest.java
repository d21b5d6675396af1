package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the limit that a target names, with many hosts that want to send far more. */
class TargetRateLimitTest {
    private static final long END_MILLIS = 180_000;
    private static final long STABLE_MILLIS = 6_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long ANSWER_MILLIS = 60;
    private static final int DEMAND_INTERVAL_MILLIS = 40;

    private final List<Long> arrivals = new ArrayList<>();

    /** Lets hosts send to a target that names a limit until the given time; the given number of them is assigned. */
    private List<TargetRateLimit> run(int hosts, int assigned, double perSecond, long limitEndsAtMillis, long seed) {
        Random random = new Random(seed);
        List<TargetRateLimit> limits = new ArrayList<>();
        double[] phases = random.doubles(hosts).toArray();
        PriorityQueue<long[]> answers = new PriorityQueue<>(Comparator.comparingLong((long[] each) -> each[0]));
        for (int host = 0; host < hosts; host++) {
            limits.add(new TargetRateLimit());
        }
        for (long now = 0; now < END_MILLIS; now++) {
            while (!answers.isEmpty() && answers.peek()[0] <= now) {
                TargetRateLimit limit = limits.get((int) answers.poll()[1]);
                if (now < limitEndsAtMillis) {
                    limit.named(perSecond, now);
                } else {
                    limit.ended();
                }
            }
            for (int host = 0; host < hosts; host++) {
                boolean wanted = random.nextInt(DEMAND_INTERVAL_MILLIS) == 0;
                if (wanted && limits.get(host).maySend(host < assigned, hosts, phases[host], now)) {
                    limits.get(host).recordSend(now);
                    arrivals.add(now);
                    answers.add(new long[] {now + ANSWER_MILLIS, host});
                }
            }
        }
        return limits;
    }

    private long maxInWindow() {
        long max = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(first) <= arrivals.get(last) - WINDOW_MILLIS) {
                first++;
            }
            if (arrivals.get(first) >= STABLE_MILLIS) {
                max = Math.max(max, last - first + 1);
            }
        }
        return max;
    }

    private static double bound(double perSecond) {
        return 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
    }

    /** Guards against hosts that each keep the limit, but together send several times as much. */
    @ParameterizedTest
    @CsvSource({"1, 0", "1, 0.1", "2, 1", "2, 1.6", "6, 0.5", "6, 5", "12, 1", "12, 20", "30, 0", "30, 1", "30, 3.7"})
    void shouldKeepTheLimitWhenManyHostsSend(int hosts, double perSecond) {
        run(hosts, 1, perSecond, END_MILLIS, hosts);

        assertTrue(maxInWindow() <= bound(perSecond), () -> "arrivals in 4 s: " + maxInWindow());
    }

    /** Guards against hosts of which two, or none, take themselves for the assigned one while their views differ. */
    @ParameterizedTest
    @CsvSource({"2, 2, 1", "6, 2, 1.6", "12, 2, 0", "6, 0, 1", "30, 0, 1", "30, 2, 2"})
    void shouldKeepTheLimitWhenTheViewsOfHostsDiffer(int hosts, int assigned, double perSecond) {
        run(hosts, assigned, perSecond, END_MILLIS, hosts);

        assertTrue(maxInWindow() <= bound(perSecond), () -> "arrivals in 4 s: " + maxInWindow());
    }

    /** Guards against a limit that leaves most of what the target takes unused. */
    @ParameterizedTest
    @CsvSource({"2, 1", "12, 5", "30, 20"})
    void shouldUseMostOfTheLimitWhenThereIsDemand(int hosts, double perSecond) {
        run(hosts, 1, perSecond, END_MILLIS, hosts);

        assertTrue(arrivals.size() >= 0.7 * perSecond * END_MILLIS / 1_000, () -> "arrivals: " + arrivals.size());
    }

    /** Guards against a target that is limited forever, as nobody asks it any more. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 0", "6, 0.1", "6, 1.6", "12, 5"})
    void shouldLearnThatTheLimitHasEndedWhenTheTargetNamesItNoMore(int hosts, double perSecond) {
        List<TargetRateLimit> limits = run(hosts, 1, perSecond, 30_000, hosts);

        assertEquals(0, limits.stream().filter(TargetRateLimit::isActive).count());
    }
}
