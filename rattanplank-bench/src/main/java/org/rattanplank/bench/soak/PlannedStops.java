package org.rattanplank.bench.soak;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Try;
import org.rattanplank.bench.process.ChildProcess;
import org.rattanplank.bench.process.Poll;
import org.rattanplank.standins.link.Link;

/**
 * Stops all hosts of one region or of all, so that their stops overlap, with one more fault meanwhile, while targets
 * take longer than before and callers use their connections for as long as they are open.
 *
 * <p>Confined to the thread of the soak test, except for the callers, which have their own threads.
 */
final class PlannedStops {
    private static final List<Long> GAPS_MILLIS = List.of(0L, 200L, 1_000L, 4_000L);
    private static final int STOPS_PER_STOP_OF_ALL = 4;
    private static final int CALLERS_PER_HOST = 12;
    private static final long WARM_UP_MILLIS = 1_000;
    private static final long EARLIEST_PAUSE_MILLIS = 2_500;
    private static final long LATEST_MILLIS = 5_500;
    private static final long MAX_ANNOUNCED_MILLIS = 1_500;
    private static final long SHUTDOWN_MILLIS = 4_000;
    private static final long MIN_PAUSE_MILLIS = 3_000;
    private static final long MAX_PAUSE_MILLIS = 4_800;
    private static final long POLL_MILLIS = 20;

    private final SoakSite site;
    private final SplittableRandom draw;

    /** Draws the shutdowns of replicas, so that the other draws of a seed stay. */
    private final SplittableRandom shutdownDraw;

    private final List<PlannedWork> work = new ArrayList<>();
    private final List<Long> impairmentMillis = new ArrayList<>();
    private final List<String> journal = new ArrayList<>();
    private final List<ChildProcess> stopping = new ArrayList<>();
    private final Map<SoakFault, Integer> faultCounts = new EnumMap<>(SoakFault.class);

    PlannedStops(SoakSite site, SplittableRandom draw, SplittableRandom shutdownDraw) {
        this.site = site;
        this.draw = draw;
        this.shutdownDraw = shutdownDraw;
    }

    /**
     * Stops hosts and starts them again. Nothing else may be amiss.
     *
     * @param numbers the numbers in the identifiers of the calls that are made meanwhile
     * @param calls accepts each call
     * @return how often each fault was injected
     */
    Map<SoakFault, Integer> run(Supplier<String> numbers, Consumer<SoakCall> calls) {
        AtomicBoolean callersActive = new AtomicBoolean(true);
        List<Thread> callers = new ArrayList<>();
        for (InetSocketAddress host : site.callerAddresses()) {
            for (int i = 0; i < CALLERS_PER_HOST; i++) {
                SplittableRandom random = draw.split();
                callers.add(new Thread(() -> {
                    while (callersActive.get()) {
                        SoakCaller.callOverOneConnection(host, random, callersActive::get, numbers, calls);
                    }
                }));
            }
        }
        callers.forEach(Thread::start);
        try {
            Poll.pause(WARM_UP_MILLIS);
            inject(steps());
        } finally {
            site.pauseRuns(0);
            site.replicaIds().forEach(site::resumeReplica);
            callersActive.set(false);
        }
        callers.forEach(thread -> Try.run(thread::join));
        return Map.copyOf(faultCounts);
    }

    /** Returns what was done, in order. */
    List<String> journal() {
        return List.copyOf(journal);
    }

    /** Returns the violations of rule LOST. */
    List<String> lostRequests(List<SoakCall> calls) {
        return SoakAudit.lostRequests(calls, site.runCounts(), site.finishedMillis(), work, impairmentMillis);
    }

    private List<Step> steps() {
        String region = SoakSite.REGIONS.get(draw.nextInt(SoakSite.REGIONS.size()));
        boolean all = draw.nextInt(STOPS_PER_STOP_OF_ALL) == 0;
        List<String> hosts = site.hostNames().stream()
                .filter(name -> all || name.startsWith(region))
                .toList();
        long gapMillis = GAPS_MILLIS.get(draw.nextInt(GAPS_MILLIS.size()));
        long lastMillis = (hosts.size() - 1) * gapMillis;
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            String host = hosts.get(i);
            steps.add(new Step(i * gapMillis, "stop " + host, () -> stop(host)));
        }
        long maxPauseMillis = draw.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
        steps.add(new Step(
                lastMillis + draw.nextLong(EARLIEST_PAUSE_MILLIS, LATEST_MILLIS),
                "pauses up to " + maxPauseMillis + " ms",
                () -> site.pauseRuns(maxPauseMillis)));
        SoakFault fault = SoakFault.DURING_STOPS.get(draw.nextInt(SoakFault.DURING_STOPS.size()));
        String host = hosts.get(draw.nextInt(hosts.size()));
        String replica = site.replicaIds().get(draw.nextInt(site.replicaIds().size()));
        steps.add(new Step(
                draw.nextLong(lastMillis + LATEST_MILLIS),
                fault + " " + host + " " + replica,
                () -> inject(fault, host, replica)));
        steps.addAll(shutdownSteps(lastMillis));
        return steps;
    }

    private List<Step> shutdownSteps(long lastStopMillis) {
        String replica =
                site.replicaIds().get(shutdownDraw.nextInt(site.replicaIds().size()));
        long beginMillis = shutdownDraw.nextLong(lastStopMillis + LATEST_MILLIS);
        long closeMillis = beginMillis + shutdownDraw.nextLong(MAX_ANNOUNCED_MILLIS);
        Link link = site.replicaLink(replica);
        return List.of(
                new Step(beginMillis, SoakFault.REPLICA_SHUTS_DOWN + " " + replica, () -> beginShutdown(replica)),
                new Step(closeMillis, replica + " closes its port", link::closePort),
                new Step(
                        closeMillis + SHUTDOWN_MILLIS, replica + " is replaced", () -> site.replaceIfPresent(replica)));
    }

    private void beginShutdown(String replica) {
        faultCounts.merge(SoakFault.REPLICA_SHUTS_DOWN, 1, Integer::sum);
        site.beginShutdown(replica);
    }

    /** Starts the hosts again that have ended, some as soon as they have, as in a rolling restart. */
    private void inject(List<Step> steps) {
        boolean restartsAtOnce = draw.nextBoolean();
        List<Step> pending = new ArrayList<>(steps);
        long start = SoakSite.nowMillis();
        while (!pending.isEmpty() || stopping.stream().anyMatch(ChildProcess::isAlive)) {
            long millis = SoakSite.nowMillis() - start;
            List<Step> due =
                    pending.stream().filter(step -> step.atMillis <= millis).toList();
            pending.removeAll(due);
            for (Step step : due) {
                journal.add(millis + " ms: " + step.what);
                step.action.run();
            }
            if (restartsAtOnce) {
                startEnded();
            }
            Poll.pause(POLL_MILLIS);
        }
        startEnded();
    }

    private void startEnded() {
        site.hostNames().stream()
                .filter(host -> !site.hostProcess(host).isAlive())
                .forEach(site::startHost);
    }

    private void stop(String host) {
        ChildProcess process = site.hostProcess(host);
        if (!process.isAlive()) {
            return;
        }
        process.terminate();
        work.add(new PlannedWork(PlannedWork.Kind.STOP, site.callerAddress(host), SoakSite.nowMillis()));
        stopping.add(process);
        faultCounts.merge(SoakFault.STOP_HOST, 1, Integer::sum);
    }

    private void inject(SoakFault fault, String host, String replica) {
        ChildProcess process = site.hostProcess(host);
        switch (fault) {
            case KILL_HOST -> {
                impairmentMillis.add(SoakSite.nowMillis());
                process.kill();
            }
            case RELOAD_HOST -> {
                if (process.isAlive()) {
                    process.reload();
                    work.add(new PlannedWork(PlannedWork.Kind.RELOAD, site.callerAddress(host), SoakSite.nowMillis()));
                }
            }
            case CONFIGURATION_CHANGES -> site.applyNextConfiguration();
            case REPLICA_REPLACED -> site.replaceReplica(replica);
            case REPLICA_PAUSED -> site.pauseReplica(replica, LATEST_MILLIS);
            default -> throw new IllegalStateException("unsupported fault " + fault);
        }
        faultCounts.merge(fault, 1, Integer::sum);
    }

    private record Step(long atMillis, String what, Runnable action) {}
}
