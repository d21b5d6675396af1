package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.Place;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Walks small installations whose hosts are stopped in turn, some twice, faster than each is back.
 *
 * <p>Symptoms: callers are refused for seconds while engines are idle, and homed callers are sent where their data must
 * not go. Sequence: the hosts of a region are stopped one after the other, each as long as its streams; those of another
 * region too, while the third one's engines may not be used. Cause: each host only saw to its own end, so that nobody
 * reached the engines of its region; and a region counted as away when nobody had asked for it of late. The logs of such
 * a day showed it: from the {@code stopping} of a region's last host to the {@code started} of its first one 4 s, in which
 * 235 requests ended as "no target may take it".
 */
class StopInTurnSearchTest {
    private static final int SEEDS = 400;
    private static final int REGIONS = 3;
    private static final int MOST_HOSTS = 4;
    private static final long STEP_MILLIS = 50;
    private static final long END_MILLIS = 40_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final long RESTART_MILLIS = 700;
    private static final long LEARN_MILLIS = 300;
    private static final long MOST_DELAY_MILLIS = 400;
    private static final long ASK_MILLIS = 250;
    private static final long MOST_STREAM_MILLIS = 6_000;

    /** Each of two hosts may take a view's delay to learn that the other one stops. */
    private static final long GAP_MILLIS = 2 * MOST_DELAY_MILLIS + STEP_MILLIS;

    @Test
    void shouldLeaveNoRegionUnreachedWhenAHostOfItCouldStillServe() {
        int gaps = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Walk walk = new Walk(seed);
            walk.run();
            assertTrue(walk.longestGapMillis <= GAP_MILLIS, "seed " + seed + ": " + walk.longestGapMillis + " ms");
            gaps += walk.stops > 2 ? 1 : 0;
        }
        assertEquals(SEEDS, gaps, "walks with several stops");
    }

    @Test
    void shouldSendNoCallerAstrayWhenHostsOfItsRegionsWereThereLately() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Walk walk = new Walk(seed);
            walk.run();
            assertEquals(List.of(), walk.astray, "seed " + seed);
        }
    }

    /** One host: it runs, is about to end, or is away. */
    private static final class Host {
        private final GatewayHost entry;
        private final int region;
        private final List<Long> stopsAtMillis = new ArrayList<>();
        private final List<Boolean> tookCallers = new ArrayList<>();
        private final List<Long> workMillis = new ArrayList<>();
        private CallerDirectory directory = CallerDirectory.of(-LEARN_MILLIS);
        private long startedAtMillis = -LEARN_MILLIS;
        private long stopAskedAtMillis = -1;
        private long streamsEndAtMillis;
        private boolean ending;
        private boolean running = true;

        private Host(int region, int number) {
            this.region = region;
            String name = "h" + region + number;
            entry = new GatewayHost(name, 1, Place.of("r" + region, "d" + region), name, name);
        }

        private boolean takesCallers(long nowMillis) {
            return running && stopAskedAtMillis < 0 && nowMillis - startedAtMillis >= LEARN_MILLIS;
        }

        private boolean tookCallersAt(long millis) {
            return millis < 0 || tookCallers.get((int) (millis / STEP_MILLIS));
        }

        private long workMillisAt(long millis) {
            return millis < 0 ? 0 : workMillis.get((int) (millis / STEP_MILLIS));
        }

        private long stoppingMillis(long nowMillis) {
            return nowMillis - stopAskedAtMillis;
        }
    }

    /** One installation and what happens to it. */
    private static final class Walk {
        private final Random random;
        private final List<Host> hosts = new ArrayList<>();
        private final StopPlan plan = StopPlan.within(GRACE_MILLIS);
        private final long[] unreachedSinceMillis = new long[REGIONS];
        private final List<String> astray = new ArrayList<>();
        private final long delayMillis;
        private long longestGapMillis;
        private int stops;

        private Walk(int seed) {
            random = new Random(seed);
            delayMillis = STEP_MILLIS * (1 + random.nextInt((int) (MOST_DELAY_MILLIS / STEP_MILLIS)));
            for (int region = 0; region < REGIONS; region++) {
                int count = 1 + random.nextInt(MOST_HOSTS);
                for (int number = 0; number < count; number++) {
                    hosts.add(new Host(region, number));
                }
            }
            planStops();
        }

        private void planStops() {
            long atMillis = 5_000;
            for (int round = 0; round < 2; round++) {
                List<Host> order = new ArrayList<>(hosts);
                java.util.Collections.shuffle(order, random);
                for (Host host : order) {
                    atMillis += STEP_MILLIS * random.nextInt(30);
                    host.stopsAtMillis.add(atMillis);
                }
                atMillis += STEP_MILLIS * random.nextInt(200);
            }
        }

        private void run() {
            for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
                for (Host host : hosts) {
                    step(host, now);
                }
                for (Host host : hosts) {
                    host.tookCallers.add(host.takesCallers(now));
                    host.workMillis.add(workMillis(host, now));
                }
                noteGaps(now);
                if (now % ASK_MILLIS == 0) {
                    askDirectories(now);
                }
            }
        }

        private void step(Host host, long now) {
            if (!host.running && now >= host.startedAtMillis) {
                host.running = true;
                host.directory = CallerDirectory.of(now);
            }
            boolean due = !host.stopsAtMillis.isEmpty() && now >= host.stopsAtMillis.get(0);
            if (due && host.takesCallers(now)) {
                host.stopsAtMillis.remove(0);
                host.stopAskedAtMillis = now;
                host.streamsEndAtMillis = now + random.nextInt((int) MOST_STREAM_MILLIS);
                host.ending = false;
                stops++;
            }
            if (host.running && host.stopAskedAtMillis >= 0) {
                stopOn(host, now);
            }
        }

        private void stopOn(Host host, long now) {
            long stopping = host.stoppingMillis(now);
            boolean hasWork = now < host.streamsEndAtMillis;
            host.ending |= plan.mayEnd(stopping, others(host, now), hasWork);
            if (host.ending && !hasWork || stopping >= plan.cutMillis()) {
                host.running = false;
                host.stopAskedAtMillis = -1;
                host.startedAtMillis = now + RESTART_MILLIS;
            }
        }

        private long workMillis(Host host, long now) {
            if (host.takesCallers(now)) {
                return Long.MAX_VALUE;
            }
            boolean stopping = host.running && host.stopAskedAtMillis >= 0 && !host.ending;
            return stopping ? plan.workMillis(host.stoppingMillis(now), others(host, now)) : 0;
        }

        private OtherHosts others(Host host, long now) {
            long seenAtMillis = now - delayMillis;
            boolean exist = false;
            boolean oneTakes = false;
            long longestMillis = 0;
            for (Host each : hosts) {
                if (each != host && each.region == host.region) {
                    exist = true;
                    oneTakes |= each.tookCallersAt(seenAtMillis);
                    if (!each.tookCallersAt(seenAtMillis)) {
                        longestMillis = Math.max(longestMillis, each.workMillisAt(seenAtMillis) - delayMillis);
                    }
                }
            }
            long ownMillis = plan.workMillis(host.stoppingMillis(now), OtherHosts.AWAY);
            return OtherHosts.of(exist, oneTakes, longestMillis, ownMillis);
        }

        /** Whether a request could still be ended there: it runs, and has time left before it is cut. */
        private boolean couldServe(Host host, long now) {
            boolean stopping = host.stopAskedAtMillis >= 0;
            long left = plan.cutMillis() - host.stoppingMillis(now);
            return host.running && (stopping ? left > OtherHosts.MIN_REMAINING_MILLIS : host.takesCallers(now));
        }

        /** A host alone in its region is back soonest if it ends soon. */
        private boolean isAlone(Host host) {
            return hosts.stream().filter(each -> each.region == host.region).count() == 1;
        }

        private void noteGaps(long now) {
            for (int region = 0; region < REGIONS; region++) {
                int own = region;
                boolean reached = hosts.stream().anyMatch(host -> host.region == own && host.workMillisAt(now) > 0);
                boolean could = hosts.stream()
                        .anyMatch(host -> host.region == own
                                && couldServe(host, now)
                                && !(host.stopAskedAtMillis >= 0 && isAlone(host)));
                if (reached || !could) {
                    unreachedSinceMillis[region] = now;
                }
                longestGapMillis = Math.max(longestGapMillis, now - unreachedSinceMillis[region]);
            }
        }

        private void askDirectories(long now) {
            for (Host asked : hosts) {
                if (asked.running) {
                    List<GatewayHost> takers = seen(asked, now, true);
                    List<GatewayHost> last = seen(asked, now, false);
                    asked.directory.saw(takers, now);
                    asked.directory.saw(last, now);
                    for (int caller = 0; caller < REGIONS; caller++) {
                        ask(asked, caller, takers, last, now);
                    }
                }
            }
        }

        private List<GatewayHost> seen(Host asked, long now, boolean takers) {
            List<GatewayHost> seen = new ArrayList<>();
            for (Host host : hosts) {
                long atMillis = host == asked ? now : now - delayMillis;
                boolean takesCallers = host.tookCallersAt(atMillis);
                if (takers ? takesCallers : !takesCallers && host.workMillisAt(atMillis) > 0) {
                    seen.add(host.entry);
                }
            }
            return seen;
        }

        /** A caller whose requests have two homes that share none: only its own region may have all of them. */
        private void ask(Host asked, int caller, List<GatewayHost> takers, List<GatewayHost> last, long now) {
            List<String> homes = List.of("r" + (caller + 1) % REGIONS, "r" + (caller + 2) % REGIONS);
            CallerPlace place = new CallerPlace("r" + caller, "d" + caller, homes, List.of());
            List<String> named = asked.directory.list(takers, last, Option.some(place), now);
            boolean away = named.stream().anyMatch(address -> !address.startsWith("h" + caller));
            if (away && wasThereLately(caller, now)) {
                astray.add(now + " ms: " + asked.entry.name() + " names " + named + " for r" + caller);
            }
        }

        /** Whether the other hosts could know of one that took work within the time for which a region is waited for. */
        private boolean wasThereLately(int region, long now) {
            long sinceMillis = now - CallerDirectory.ABSENCE_TIMEOUT_MILLIS + ASK_MILLIS;
            for (long at = now - delayMillis; at > sinceMillis; at -= STEP_MILLIS) {
                for (Host host : hosts) {
                    if (host.region == region && host.workMillisAt(at) > 0) {
                        return true;
                    }
                }
            }
            return false;
        }
    }
}
