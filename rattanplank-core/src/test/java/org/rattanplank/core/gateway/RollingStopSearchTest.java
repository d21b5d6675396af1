package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Simulates small installations whose hosts are stopped in turn, some twice, faster than each is back.
 *
 * <p>Guards against callers being rejected for seconds while engines are idle, and against callers with home regions
 * being sent where their data must not go. The hosts of a region are stopped one after the other, each for as long as
 * its streams last, as are those of a second region, while the engines of the third may not be used. It comes about
 * when each host considers only its own shutdown, so that no host reaches the engines of its region, and when a region
 * counts as absent because nobody has requested it recently. In the logs, 4 s pass between the {@code stopping} of a
 * region's last host and the {@code started} of its first one, in which 235 requests end with "no target may take it".
 */
class RollingStopSearchTest {
    private static final int SEEDS = 400;
    private static final int REGIONS = 3;
    private static final int MAX_HOSTS = 4;
    private static final long STEP_MILLIS = 50;
    private static final long END_MILLIS = 40_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final long RESTART_MILLIS = 700;
    private static final long START_UP_MILLIS = 300;
    private static final long MAX_DELAY_MILLIS = 400;
    private static final long CALLER_INTERVAL_MILLIS = 250;
    private static final long MAX_STREAM_MILLIS = 6_000;

    /** Each of two hosts may observe with one report delay that the other one stops. */
    private static final long GAP_MILLIS = 2 * MAX_DELAY_MILLIS + STEP_MILLIS;

    @Test
    void shouldLeaveNoRegionUnservedWhenAHostOfItCouldStillServe() {
        int gaps = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.run();
            assertTrue(simulation.maxGapMillis <= GAP_MILLIS, "seed " + seed + ": " + simulation.maxGapMillis + " ms");
            gaps += simulation.stops > 2 ? 1 : 0;
        }
        assertEquals(SEEDS, gaps, "simulations with several stops");
    }

    @Test
    void shouldSendNoCallerElsewhereWhenItsRegionHadHostsRecently() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.run();
            assertEquals(List.of(), simulation.misdirected, "seed " + seed);
        }
    }

    /** A host: it runs, is about to close, or is down. */
    private static final class Host {
        private final GatewayHost entry;
        private final int region;
        private final List<Long> stopsAtMillis = new ArrayList<>();
        private final List<Boolean> acceptedCallers = new ArrayList<>();
        private final List<Long> acceptMillis = new ArrayList<>();
        private EntryHostDirectory directory = EntryHostDirectory.of(-START_UP_MILLIS);
        private long startedAtMillis = -START_UP_MILLIS;
        private long stopRequestedAtMillis = -1;
        private long streamsEndAtMillis;
        private boolean closing;
        private boolean running = true;

        private Host(int region, int number) {
            this.region = region;
            String name = "h" + region + number;
            entry = new GatewayHost(name, 1, Location.of("r" + region, "d" + region), name, name);
        }

        private boolean acceptsCallers(long nowMillis) {
            return running && stopRequestedAtMillis < 0 && nowMillis - startedAtMillis >= START_UP_MILLIS;
        }

        private boolean acceptedCallersAt(long millis) {
            return millis < 0 || acceptedCallers.get((int) (millis / STEP_MILLIS));
        }

        private long acceptMillisAt(long millis) {
            return millis < 0 ? 0 : acceptMillis.get((int) (millis / STEP_MILLIS));
        }

        private long stoppingMillis(long nowMillis) {
            return nowMillis - stopRequestedAtMillis;
        }
    }

    /** One installation and its events. */
    private static final class Simulation {
        private final Random random;
        private final List<Host> hosts = new ArrayList<>();
        private final ShutdownPlan plan = ShutdownPlan.within(GRACE_MILLIS);
        private final long[] unservedSinceMillis = new long[REGIONS];
        private final List<String> misdirected = new ArrayList<>();
        private final long delayMillis;
        private long maxGapMillis;
        private int stops;

        private Simulation(int seed) {
            random = new Random(seed);
            delayMillis = STEP_MILLIS * (1 + random.nextInt((int) (MAX_DELAY_MILLIS / STEP_MILLIS)));
            for (int region = 0; region < REGIONS; region++) {
                int count = 1 + random.nextInt(MAX_HOSTS);
                for (int number = 0; number < count; number++) {
                    hosts.add(new Host(region, number));
                }
            }
            scheduleStops();
        }

        private void scheduleStops() {
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
                    host.acceptedCallers.add(host.acceptsCallers(now));
                    host.acceptMillis.add(acceptMillis(host, now));
                }
                recordGaps(now);
                if (now % CALLER_INTERVAL_MILLIS == 0) {
                    queryDirectories(now);
                }
            }
        }

        private void step(Host host, long now) {
            if (!host.running && now >= host.startedAtMillis) {
                host.running = true;
                host.directory = EntryHostDirectory.of(now);
            }
            boolean due = !host.stopsAtMillis.isEmpty() && now >= host.stopsAtMillis.get(0);
            if (due && host.acceptsCallers(now)) {
                host.stopsAtMillis.remove(0);
                host.stopRequestedAtMillis = now;
                host.streamsEndAtMillis = now + random.nextInt((int) MAX_STREAM_MILLIS);
                host.closing = false;
                stops++;
            }
            if (host.running && host.stopRequestedAtMillis >= 0) {
                continueStop(host, now);
            }
        }

        private void continueStop(Host host, long now) {
            long stopping = host.stoppingMillis(now);
            boolean hasWork = now < host.streamsEndAtMillis;
            host.closing |= plan.mayClose(stopping, peers(host, now), hasWork);
            if (host.closing && !hasWork || stopping >= plan.closeMillis()) {
                host.running = false;
                host.stopRequestedAtMillis = -1;
                host.startedAtMillis = now + RESTART_MILLIS;
            }
        }

        private long acceptMillis(Host host, long now) {
            if (host.acceptsCallers(now)) {
                return Long.MAX_VALUE;
            }
            boolean stopping = host.running && host.stopRequestedAtMillis >= 0 && !host.closing;
            return stopping ? plan.acceptMillis(host.stoppingMillis(now), peers(host, now)) : 0;
        }

        private PeerAvailability peers(Host host, long now) {
            long observedAtMillis = now - delayMillis;
            boolean hasPeers = false;
            boolean peerAcceptsCallers = false;
            long maxAcceptMillis = 0;
            for (Host each : hosts) {
                if (each != host && each.region == host.region) {
                    hasPeers = true;
                    peerAcceptsCallers |= each.acceptedCallersAt(observedAtMillis);
                    if (!each.acceptedCallersAt(observedAtMillis)) {
                        maxAcceptMillis =
                                Math.max(maxAcceptMillis, each.acceptMillisAt(observedAtMillis) - delayMillis);
                    }
                }
            }
            long ownAcceptMillis = plan.acceptMillis(host.stoppingMillis(now), PeerAvailability.UNAVAILABLE);
            return PeerAvailability.of(hasPeers, peerAcceptsCallers, maxAcceptMillis, ownAcceptMillis);
        }

        /**
         * Whether a request could still end there: the host runs, and has time left before it closes its connections.
         */
        private boolean couldServe(Host host, long now) {
            boolean stopping = host.stopRequestedAtMillis >= 0;
            long remainingMillis = plan.closeMillis() - host.stoppingMillis(now);
            return host.running
                    && (stopping ? remainingMillis > PeerAvailability.MIN_REMAINING_MILLIS : host.acceptsCallers(now));
        }

        /** A host alone in its region is back soonest if it shuts down soon. */
        private boolean isAlone(Host host) {
            return hosts.stream().filter(each -> each.region == host.region).count() == 1;
        }

        private void recordGaps(long now) {
            for (int region = 0; region < REGIONS; region++) {
                int own = region;
                boolean isServed = hosts.stream().anyMatch(host -> host.region == own && host.acceptMillisAt(now) > 0);
                boolean couldBeServed = hosts.stream()
                        .anyMatch(host -> host.region == own
                                && couldServe(host, now)
                                && !(host.stopRequestedAtMillis >= 0 && isAlone(host)));
                if (isServed || !couldBeServed) {
                    unservedSinceMillis[region] = now;
                }
                maxGapMillis = Math.max(maxGapMillis, now - unservedSinceMillis[region]);
            }
        }

        private void queryDirectories(long now) {
            for (Host queried : hosts) {
                if (queried.running) {
                    List<GatewayHost> accepting = visibleHosts(queried, now, true);
                    List<GatewayHost> closing = visibleHosts(queried, now, false);
                    queried.directory.recordHosts(accepting, now);
                    queried.directory.recordHosts(closing, now);
                    for (int caller = 0; caller < REGIONS; caller++) {
                        query(queried, caller, accepting, closing, now);
                    }
                }
            }
        }

        private List<GatewayHost> visibleHosts(Host queried, long now, boolean accepting) {
            List<GatewayHost> visible = new ArrayList<>();
            for (Host host : hosts) {
                long atMillis = host == queried ? now : now - delayMillis;
                boolean acceptsCallers = host.acceptedCallersAt(atMillis);
                if (accepting ? acceptsCallers : !acceptsCallers && host.acceptMillisAt(atMillis) > 0) {
                    visible.add(host.entry);
                }
            }
            return visible;
        }

        /**
         * Requests the list of a caller whose requests have two homes without a common one: only its own region may
         * serve all of them.
         */
        private void query(Host queried, int caller, List<GatewayHost> accepting, List<GatewayHost> closing, long now) {
            List<String> homeRegions = List.of("r" + (caller + 1) % REGIONS, "r" + (caller + 2) % REGIONS);
            CallerLocation location = new CallerLocation("r" + caller, "d" + caller, homeRegions, List.of());
            List<String> listed = queried.directory.list(accepting, closing, Set.of(), Option.some(location), now);
            boolean isElsewhere = listed.stream().anyMatch(address -> !address.startsWith("h" + caller));
            if (isElsewhere && hadHostsRecently(caller, now)) {
                misdirected.add(now + " ms: " + queried.entry.name() + " lists " + listed + " for r" + caller);
            }
        }

        /**
         * Whether the other hosts could know of one that accepted work within the time for which an absent region is
         * waited for.
         */
        private boolean hadHostsRecently(int region, long now) {
            long sinceMillis = now - EntryHostDirectory.ABSENCE_TIMEOUT_MILLIS + CALLER_INTERVAL_MILLIS;
            for (long at = now - delayMillis; at > sinceMillis; at -= STEP_MILLIS) {
                for (Host host : hosts) {
                    if (host.region == region && host.acceptMillisAt(at) > 0) {
                        return true;
                    }
                }
            }
            return false;
        }
    }
}
