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

import io.vavr.control.Option;

/**
 * Simulates the hosts of one region and their engines in virtual time. The decisions are made by the production code,
 * and hosts observe each other's work with a delay.
 *
 * <p>Invariant: the same parameters and seed give the same results. Confined to one thread.
 */
final class SimulatedRegion {
    private static final String REGION = "r1";
    private static final String DATA_CENTRE = "r1-hall";
    private static final ServiceRule SERVICE = new ServiceRule(
            Samples.MODEL, 700, 0, 0, SimulatedEngine.SLOTS, SimulatedEngine.EVENT_TOKENS, 400_000, true);
    private static final double HINT_SPREAD = 0.5;
    private static final long MIN_REPORT_INTERVAL_MILLIS = 100;
    private static final long REPORT_INTERVAL_MILLIS_PER_HOST = 12;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long RETRY_AFTER_MILLIS = 600;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final Mechanisms mechanisms;
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<StreamKind, List<Call>> calls = new EnumMap<>(StreamKind.class);
    private final ClusterView clusterView;

    private SimulatedRegion(int hostCount, int engineCount, long seed, Mechanisms mechanisms) {
        random = new Random(seed);
        this.mechanisms = mechanisms;
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
        return of(hostCount, engineCount, seed, Mechanisms.ALL).run(load, seconds);
    }

    /** Returns a region without callers. */
    static SimulatedRegion of(int hostCount, int engineCount, long seed, Mechanisms mechanisms) {
        return new SimulatedRegion(hostCount, engineCount, seed, mechanisms);
    }

    /** Lets some of the engines crash. All hosts know it at once, as their connections are reset. */
    SimulatedRegion crashAfter(long millis, int count) {
        time.after(millis, () -> {
            for (int i = 0; i < count; i++) {
                String id = "e" + i;
                hosts.forEach(host -> host.pool.remove(id, time.nowMillis()));
                engines.get(id).crash();
            }
        });
        return this;
    }

    /** Simulates so many seconds of callers at a multiple of the usual rate, until all requests have ended. */
    SimulatedRegion run(double load, int seconds) {
        for (StreamKind kind : StreamKind.values()) {
            scheduleArrival(kind, load * engines.size() * kind.perEngineAndSecond() / 1_000, seconds * 1_000L);
        }
        long reportIntervalMillis =
                Math.max(MIN_REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS_PER_HOST * (hosts.size() - 1));
        for (Host host : hosts) {
            time.after(
                    random.nextDouble() * reportIntervalMillis, () -> time.every(reportIntervalMillis, host::report));
        }
        time.runUntil(seconds * 1_000L + 13_000);
        return this;
    }

    /** Returns the fraction answered completely of a kind's requests that had begun when their engine crashed. */
    double servedOfInterrupted(StreamKind kind) {
        List<Call> interrupted =
                calls.get(kind).stream().filter(call -> call.interrupted).toList();
        return served(interrupted, 0, 1);
    }

    /** Returns the KV cache tokens that hosts have reserved at engines. */
    long reservedTokens() {
        return hosts.stream()
                .flatMap(host -> host.pool.all().stream())
                .mapToLong(target -> target.ownWork().kvCacheTokens())
                .sum();
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
            chooser = TargetChooser.of(name, pool, random, mechanisms);
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
        private boolean begun;
        private boolean interrupted;
        private Option<StreamBackup> backup = Option.none();
        private SimulatedEngine engine;
        private InFlightRequest inFlight;
        private SimulatedEngine.Generation generation;
        private final SimulatedEngine.Listener listener = new SimulatedEngine.Listener() {
            @Override
            public void onEvent(boolean last) {
                received(last);
            }

            @Override
            public void onLost(int generatedTokens) {
                lost(generatedTokens);
            }
        };

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
            Placement placement = Placement.of(request, clusterView, host.chooser, new RegionLoads(), mechanisms, now);
            if (placement.localChoice().isEmpty() || placement.shouldReject()) {
                retryOnce();
                return;
            }
            TargetChoice choice = placement.localChoice().get();
            engine = engines.get(choice.target().id());
            SimulatedEngine transferSource = choice.transferSource()
                    .map(target -> engines.get(target.id()))
                    .getOrElse((SimulatedEngine) null);
            backup = host.chooser.reserveBackup(kind.route(), SERVICE, remaining, choice.target(), now);
            inFlight = InFlightRequest.of(host.chooser, choice, SERVICE, remaining, now);
            if (inFlight.isLargePrefill()) {
                host.report(choice.target());
            }
            generation = engine.submit(remaining, tokens, transferSource, listener);
            time.after(remainingMillis, this::timeOut);
        }

        private void retryOnce() {
            if (!retried) {
                retried = true;
                time.after(RETRY_AFTER_MILLIS, this::attempt);
            }
        }

        private void received(boolean last) {
            long now = time.nowMillis();
            begun = true;
            inTime |= now - arrivedAtMillis <= kind.route().objectiveMillis();
            inFlight.recordEvent(true, now);
            if (last) {
                inFlight.recordEnd(true, now);
                served = true;
                end();
            }
        }

        private void lost(int generatedTokens) {
            long now = time.nowMillis();
            interrupted = begun;
            inFlight.release();
            if (!begun || !backup.exists(each -> each.mayFailOver(now))) {
                end();
                return;
            }
            backup.get().recordFailover();
            GatewayTarget target = backup.get().target();
            inFlight = InFlightRequest.ofFailover(
                    host.chooser, target, SERVICE, work.afterGenerating(generatedTokens), now);
            engine = engines.get(target.id());
            generation = engine.continueFromBackup(work, Math.max(1, tokens - generatedTokens), listener);
        }

        private void timeOut() {
            if (generation != null) {
                engine.cancel(generation);
                end();
            }
        }

        private void end() {
            inFlight.release();
            backup.forEach(StreamBackup::release);
            generation = null;
        }
    }
}
