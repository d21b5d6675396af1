package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates the hosts of one region and their engines in virtual time. The decisions are made by the production code,
 * and hosts observe each other's work with a delay.
 *
 * <p>Invariant: the same parameters and seed give the same results. Confined to one thread.
 */
final class SimulatedRegion {
    private static final String REGION = "r1";
    private static final String DATA_CENTRE = "r1-hall";
    private static final ServiceRule SERVICE =
            new ServiceRule(Samples.MODEL, 700, 0, 0, SimulatedEngine.SLOTS, SimulatedEngine.EVENT_TOKENS, 400_000);
    private static final double HINT_SPREAD = 0.5;
    private static final long MIN_REPORT_INTERVAL_MILLIS = 100;
    private static final long REPORT_INTERVAL_MILLIS_PER_HOST = 12;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long RETRY_AFTER_MILLIS = 600;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<StreamKind, List<Call>> calls = new EnumMap<>(StreamKind.class);
    private final ClusterView clusterView;

    private SimulatedRegion(int hostCount, int engineCount, long seed) {
        random = new Random(seed);
        Set<String> names = new HashSet<>();
        for (int i = 0; i < hostCount; i++) {
            names.add("h" + i);
        }
        clusterView = new ClusterView(REGION, RegionView.complete(names), Map.of(), Set.of());
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new SimulatedEngine(time));
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("h" + i, new Random(seed * 31 + i)));
        }
        for (StreamKind kind : StreamKind.values()) {
            calls.put(kind, new ArrayList<>());
        }
    }

    /** Simulates so many seconds of callers at a multiple of the usual rate. */
    static SimulatedRegion simulate(int hostCount, int engineCount, double load, int seconds, long seed) {
        SimulatedRegion region = new SimulatedRegion(hostCount, engineCount, seed);
        for (StreamKind kind : StreamKind.values()) {
            region.scheduleArrival(kind, load * engineCount * kind.perEngineAndSecond() / 1_000, seconds * 1_000L);
        }
        long reportIntervalMillis =
                Math.max(MIN_REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS_PER_HOST * (hostCount - 1));
        for (Host host : region.hosts) {
            region.time.after(
                    region.random.nextDouble() * reportIntervalMillis,
                    () -> region.time.every(reportIntervalMillis, host::report));
        }
        region.time.runUntil(seconds * 1_000L + 13_000);
        return region;
    }

    /** Returns the fraction of a kind's requests that were answered completely. */
    double served(StreamKind kind) {
        return served(calls.get(kind), 0, 1);
    }

    /**
     * Returns the fraction answered completely of a kind's requests within a range of the order by size, from 0 for the
     * smallest to 1 for the largest.
     */
    double served(StreamKind kind, double from, double to) {
        List<Call> bySize = new ArrayList<>(calls.get(kind));
        bySize.sort(Comparator.comparingInt(call -> call.tokens));
        return served(bySize, from, to);
    }

    /** Returns the fraction of a kind's requests whose first event came within the objective. */
    double inTime(StreamKind kind) {
        return calls.get(kind).stream()
                        .filter(call -> call.inTime && call.served)
                        .count()
                / (double) calls.get(kind).size();
    }

    private static double served(List<Call> subset, double from, double to) {
        List<Call> part = subset.subList((int) (from * subset.size()), (int) (to * subset.size()));
        return part.stream().filter(call -> call.served).count() / (double) Math.max(1, part.size());
    }

    private void scheduleArrival(StreamKind kind, double perMilli, long untilMillis) {
        double gapMillis = -Math.log(1 - random.nextDouble()) / perMilli;
        time.after(gapMillis, () -> {
            if (time.nowMillis() >= untilMillis) {
                return;
            }
            Call call = new Call(kind, kind.drawTokens(random), hosts.get(random.nextInt(hosts.size())));
            if (time.nowMillis() >= WARM_UP_MILLIS) {
                calls.get(kind).add(call);
            }
            call.attempt();
            scheduleArrival(kind, perMilli, untilMillis);
        });
    }

    private final class Host {
        private final String name;
        private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));
        private final TargetChooser chooser;

        private Host(String name, Random random) {
            this.name = name;
            chooser = TargetChooser.of(name, pool, random);
            engines.keySet().stream()
                    .sorted()
                    .forEach(id -> pool.register(Samples.target(id, DATA_CENTRE, false, 0), 0));
        }

        private void report() {
            pool.all().forEach(this::report);
        }

        private void report(GatewayTarget target) {
            InFlightWork own = target.ownWork();
            StreamStats stats = target.streams().ownStats(time.nowMillis());
            time.after(1, () -> hosts.stream().filter(other -> other != this).forEach(other -> other.pool
                    .find(target.id())
                    .forEach(view -> view.updateFromHost(name, own, stats))));
        }
    }

    private final class Call {
        private final StreamKind kind;
        private final int tokens;
        private final Host host;
        private final Work work;
        private final long arrivedAtMillis = time.nowMillis();
        private boolean retried;
        private boolean served;
        private boolean inTime;
        private SimulatedEngine.Generation generation;

        private Call(StreamKind kind, int tokens, Host host) {
            this.kind = kind;
            this.tokens = tokens;
            this.host = host;
            int hintTokens = (int) (tokens * Math.exp(HINT_SPREAD * random.nextGaussian()));
            work = kind.drawWork(hintTokens, random.nextLong(), random);
        }

        private void attempt() {
            long now = time.nowMillis();
            long remainingMillis = arrivedAtMillis + work.remainingMillis() - now;
            Work remaining = work.withRemainingMillis(remainingMillis);
            PlacementRequest request = new PlacementRequest(kind.route(), SERVICE, remaining, Set.of());
            Placement placement =
                    Placement.of(request, clusterView, host.chooser, new RegionLoads(), Mechanisms.ALL, now);
            if (placement.localChoice().isEmpty() || placement.shouldReject()) {
                retryOnce();
                return;
            }
            TargetChoice choice = placement.localChoice().get();
            SimulatedEngine engine = engines.get(choice.target().id());
            SimulatedEngine transferSource = choice.transferSource()
                    .map(target -> engines.get(target.id()))
                    .getOrElse((SimulatedEngine) null);
            InFlightRequest inFlight = InFlightRequest.of(host.chooser, choice, SERVICE, remaining, now);
            if (inFlight.isLargePrefill()) {
                host.report(choice.target());
            }
            generation = engine.submit(remaining, tokens, transferSource, last -> received(inFlight, last));
            time.after(remainingMillis, () -> timeOut(engine, inFlight));
        }

        private void retryOnce() {
            if (!retried) {
                retried = true;
                time.after(RETRY_AFTER_MILLIS, this::attempt);
            }
        }

        private void received(InFlightRequest inFlight, boolean last) {
            long now = time.nowMillis();
            inTime |= now - arrivedAtMillis <= kind.route().objectiveMillis();
            inFlight.recordEvent(true, now);
            if (last) {
                inFlight.recordEnd(true, now);
                served = true;
                generation = null;
            }
        }

        private void timeOut(SimulatedEngine engine, InFlightRequest inFlight) {
            if (generation != null) {
                engine.cancel(generation);
                inFlight.release();
            }
        }
    }
}
