package org.rattanplank.bench.soak;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.bench.process.ChildProcess;
import org.rattanplank.bench.process.Poll;
import org.rattanplank.standins.link.LinkState;
import org.rattanplank.standins.site.BodyEnd;
import org.rattanplank.standins.site.CrashCause;
import org.rattanplank.standins.site.LateAnswers;
import org.rattanplank.standins.site.MalformedHeads;

/**
 * Injects faults into a small installation of real gateway processes under load and checks its guarantees.
 *
 * <p>The sequence of faults is determined by the seed. Its timing relative to the calls is not, as processes run in real
 * time. Confined to one thread, except for the callers, which have their own threads.
 */
public final class Soak {
    private static final int CALLER_COUNT = 6;
    private static final int DEFAULT_HOSTS_PER_REGION = 2;
    private static final long RECOVERY_TIMEOUT_MILLIS = 60_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int STATUS_OK = 200;

    /** One additional and one further fault follow this many single ones on average. */
    private static final int FAULTS_PER_ADDITIONAL = 3;

    private static final int MAX_COPIES = 3;

    /** A limit lasts longer than other faults, until all hosts have been told of it. */
    private static final int LIMITED_PERIODS = 3;

    private static final int MAX_CRASHING_PROMPTS = 7;

    /** The requests that may reach a replica from a host in its pause; a host that starts again may send them once more. */
    private static final int UNWANTED_REQUESTS_PER_HOST = 2;

    private static final long RETRY_MILLIS = 100;

    /** The crashes by one cause after which few more are allowed, and the time from which they count. */
    private static final Map<CrashCause, Integer> ALLOWED_CRASHES =
            Map.of(CrashCause.REQUEST, 3, CrashCause.PROMPT_PART, 5);

    private static final long STABLE_MILLIS = 6_000;
    private static final int ALLOWED_LATER_CRASHES = 3;

    /** A host is bound six seconds after the last disturbance, and then by the five seconds for a target that leaves. */
    private static final long MAX_BELIEF_MILLIS = 11_000;

    private static final int LATER_CRASHING_CALLS = 12;

    private final SoakSite site;
    private final Path logFolder;
    private final SplittableRandom random;
    private final SplittableRandom additionalRandom;
    private final SplittableRandom furtherRandom;
    private final SplittableRandom latestRandom;
    private final SplittableRandom answersRandom;
    private final SplittableRandom headsRandom;
    private final PlannedStops stops;
    private final List<Thread> crashingCallers = new ArrayList<>();
    private final List<SoakCall> calls = Collections.synchronizedList(new ArrayList<>());
    private final Map<SoakFault, Integer> faultCounts = new EnumMap<>(SoakFault.class);
    private final AtomicBoolean callersActive = new AtomicBoolean(true);
    private final AtomicLong lastCallNumber = new AtomicLong();
    private final List<Repair> pendingRepairs = new ArrayList<>();
    private int activeStoreOutages;

    private Soak(SoakSite site, long seed, Path logFolder) {
        this.site = site;
        this.logFolder = logFolder;
        random = new SplittableRandom(seed);
        additionalRandom = new SplittableRandom(~seed);
        furtherRandom = new SplittableRandom(Long.reverse(seed));
        latestRandom = new SplittableRandom(~Long.reverse(seed));
        answersRandom = new SplittableRandom(Long.rotateLeft(seed, Integer.SIZE));
        headsRandom = new SplittableRandom(~Long.rotateLeft(seed, Short.SIZE));
        stops = new PlannedStops(
                site,
                new SplittableRandom(~Long.rotateLeft(seed, Integer.SIZE)),
                new SplittableRandom(Long.rotateLeft(seed, Short.SIZE)));
    }

    /**
     * Runs the soak test with one seed and two hosts in each region.
     *
     * @param seed the seed of the faults
     * @param millis how long faults are injected
     * @param template the template for the gateway settings
     * @return the result of the run
     */
    public static SoakResult run(long seed, long millis, Path template) {
        return run(seed, millis, template, DEFAULT_HOSTS_PER_REGION);
    }

    private static SoakResult run(long seed, long millis, Path template, int hostsPerRegion) {
        Path folder =
                Try.of(() -> Files.createTempDirectory("rattanplank-soak")).get();
        try (SoakSite site = new SoakSite(folder, template, hostsPerRegion)) {
            Soak soak = new Soak(site, seed, folder.resolve("logs"));
            return soak.run(millis);
        }
    }

    /**
     * Runs a range of seeds in sequence; the exit code is 1 if a guarantee was violated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        boolean violated = false;
        for (long seed = options.seed; seed < options.seed + options.seeds; seed++) {
            SoakResult result = run(seed, options.seconds * 1_000L, Path.of("deploy/gateway.yaml"), options.hosts);
            System.out.println("seed " + seed + ": " + result.summary());
            result.violations().forEach(line -> System.out.println("  broken: " + line));
            violated |= !result.violations().isEmpty();
        }
        System.exit(violated ? 1 : 0);
    }

    private SoakResult run(long millis) {
        List<Thread> threads = new ArrayList<>();
        List<InetSocketAddress> hosts = site.callerAddresses();
        for (int i = 0; i < CALLER_COUNT; i++) {
            SplittableRandom callerRandom = random.split();
            Thread thread = new Thread(() -> callUntilStopped(callerRandom, hosts), "caller-" + i);
            thread.start();
            threads.add(thread);
        }
        List<String> violations = new ArrayList<>();
        try {
            injectFaultsFor(millis);
            Try.run(this::awaitRecovery).onFailure(error -> violations.add(error.getMessage()));
            checkKnownTargets(violations);
            checkCrashes(violations);
            Poll.pause(STABLE_MILLIS);
            stops.run(() -> Long.toString(lastCallNumber.incrementAndGet()), calls::add)
                    .forEach((fault, count) -> faultCounts.merge(fault, count, Integer::sum));
            Try.run(this::awaitRecovery).onFailure(error -> violations.add(error.getMessage()));
            checkRemovedKey(violations);
        } finally {
            // Callers left running after a failure of the soak test itself would keep the process alive and load the
            // host.
            callersActive.set(false);
        }
        threads.forEach(thread -> Try.run(thread::join));
        violations.addAll(SoakAudit.violations(List.copyOf(calls), site.runCounts(), site.sentAnswers()));
        violations.addAll(stops.lostRequests(List.copyOf(calls)));
        violations.addAll(site.accountUse().violations());
        checkUnwantedRequests(violations);
        if (!violations.isEmpty()) {
            site.writeLogs(logFolder);
            violations.add("planned stops: " + stops.journal());
            violations.add("the hosts' logs are in " + logFolder);
        }
        long answered = calls.stream()
                .filter(call -> call.status() == STATUS_OK && call.complete())
                .count();
        return new SoakResult(calls.size(), answered, Map.copyOf(faultCounts), violations);
    }

    private void injectFaultsFor(long millis) {
        long end = System.nanoTime() + millis * NANOS_PER_MILLI;
        while (System.nanoTime() < end) {
            injectFault(SoakFault.SINGLE.get(random.nextInt(SoakFault.SINGLE.size())), random);
            injectSometimes(SoakFault.ADDITIONAL, additionalRandom);
            injectSometimes(SoakFault.FURTHER, furtherRandom);
            injectSometimes(SoakFault.LATEST, latestRandom);
            injectFault(SoakFault.ANSWERS.get(answersRandom.nextInt(SoakFault.ANSWERS.size())), answersRandom);
            injectSometimes(SoakFault.HEADS, headsRandom);
            Poll.pause(random.nextLong(200, 1_200));
            runDueRepairs();
            replaceCrashedReplicas();
        }
        runAllRepairs();
        crashingCallers.forEach(thread -> Try.run(thread::join));
        replaceCrashedReplicas();
    }

    /** Repairs may schedule others: what needs the store follows the end of its outages. */
    private void runAllRepairs() {
        while (!pendingRepairs.isEmpty()) {
            List<Repair> due = List.copyOf(pendingRepairs);
            pendingRepairs.clear();
            due.forEach(repair -> repair.action.run());
        }
    }

    private void injectSometimes(List<SoakFault> faults, SplittableRandom draw) {
        if (draw.nextInt(FAULTS_PER_ADDITIONAL) == 0) {
            injectFault(faults.get(draw.nextInt(faults.size())), draw);
        }
    }

    /** Writes to the store, which is not possible while it is down. */
    private void replaceCrashedReplicas() {
        if (activeStoreOutages == 0) {
            site.replaceCrashedReplicas();
        }
    }

    private void sendCrashingRequest(SplittableRandom copies) {
        List<InetSocketAddress> hosts = site.callerAddresses();
        for (int left = copies.nextInt(1, MAX_COPIES + 1); left > 0; left--) {
            InetSocketAddress host = hosts.get(copies.nextInt(hosts.size()));
            Thread thread = new Thread(() -> SoakCaller.callCrashing(host, "x" + lastCallNumber.incrementAndGet()));
            thread.start();
            crashingCallers.add(thread);
        }
    }

    /** Sends different requests with the crashing part, one after the other. */
    private void sendCrashingPrompts(SplittableRandom draw) {
        List<InetSocketAddress> hosts = site.callerAddresses();
        List<InetSocketAddress> receivers = new ArrayList<>();
        for (int left = draw.nextInt(1, MAX_CRASHING_PROMPTS + 1); left > 0; left--) {
            receivers.add(hosts.get(draw.nextInt(hosts.size())));
        }
        Thread thread = new Thread(() -> receivers.forEach(
                host -> SoakCaller.callWithCrashingPart(host, "p" + lastCallNumber.incrementAndGet())));
        thread.start();
        crashingCallers.add(thread);
    }

    /** Checks that no host goes on believing in a target that has left, or lacks one that is there. */
    private void checkKnownTargets(List<String> violations) {
        for (String host : site.hostNames()) {
            long registered = site.registeredTargets(host);
            Try.run(() -> Poll.until(
                            host + " knows its " + registered + " targets",
                            MAX_BELIEF_MILLIS,
                            () -> site.knownTargets(host).contains(registered)))
                    .onFailure(error -> violations.add(error.getMessage() + ", but " + site.knownTargets(host)));
        }
    }

    /** Checks that what crashes replicas reaches few of them any more, through hosts that have been undisturbed. */
    private void checkCrashes(List<String> violations) {
        Map<CrashCause, Integer> crashes = new EnumMap<>(CrashCause.class);
        ALLOWED_CRASHES.forEach((cause, allowed) -> {
            if (site.crashCount(cause) >= allowed) {
                crashes.put(cause, site.crashCount(cause));
            }
        });
        if (crashes.isEmpty()) {
            return;
        }
        Poll.pause(STABLE_MILLIS);
        crashes.forEach((cause, before) -> {
            int later = laterCrashes(cause, before);
            if (later > ALLOWED_LATER_CRASHES) {
                violations.add("the " + cause + " that had crashed " + before + " replicas crashed " + later + " more");
            }
        });
    }

    /** Checks that no host goes on accepting a key that a later configuration doesn't have. */
    private void checkRemovedKey(List<String> violations) {
        site.applyNextConfiguration();
        for (InetSocketAddress host : site.callerAddresses()) {
            Try.run(() -> Poll.until(
                            host + " rejects the removed key", MAX_BELIEF_MILLIS, () -> rejectsRemovedKey(host)))
                    .onFailure(error -> violations.add(error.getMessage()));
        }
    }

    private boolean rejectsRemovedKey(InetSocketAddress host) {
        return SoakCaller.acceptsRemovedKey(host, "k" + lastCallNumber.incrementAndGet())
                .contains(false);
    }

    private int laterCrashes(CrashCause cause, int before) {
        for (int i = 0; i < LATER_CRASHING_CALLS; i++) {
            List<InetSocketAddress> hosts = site.callerAddresses();
            InetSocketAddress host = hosts.get(i % hosts.size());
            String id = "y" + lastCallNumber.incrementAndGet();
            if (cause == CrashCause.REQUEST) {
                SoakCaller.callCrashing(host, id);
            } else {
                SoakCaller.callWithCrashingPart(host, id);
            }
            site.replaceCrashedReplicas();
        }
        return site.crashCount(cause) - before;
    }

    private void callUntilStopped(SplittableRandom callerRandom, List<InetSocketAddress> hosts) {
        while (callersActive.get()) {
            String start = callerRandom.nextBoolean() ? SoakCaller.LIMITED_ID_START : "q";
            String id = start + lastCallNumber.incrementAndGet();
            calls.add(SoakCaller.call(hosts.get(callerRandom.nextInt(hosts.size())), id, callerRandom.nextBoolean()));
            Poll.pause(callerRandom.nextLong(1, 40));
        }
    }

    private void injectFault(SoakFault fault, SplittableRandom draw) {
        String host = site.hostNames().get(draw.nextInt(site.hostNames().size()));
        String replica = site.replicaIds().get(draw.nextInt(site.replicaIds().size()));
        long millis = draw.nextLong(300, 3_000);
        if (!site.hostProcess(host).isAlive() && affectsHostProcess(fault)
                || activeStoreOutages > 0 && needsStoreWrite(fault)) {
            return;
        }
        faultCounts.merge(fault, 1, Integer::sum);
        switch (fault) {
            case FREEZE_HOST -> {
                ChildProcess frozen = site.hostProcess(host);
                frozen.suspend();
                scheduleRepair(millis, frozen::resume);
            }
            case KILL_HOST -> {
                site.hostProcess(host).kill();
                scheduleRepair(millis, () -> restartHost(host));
            }
            case STOP_HOST -> {
                site.hostProcess(host).terminate();
                scheduleRepair(millis, () -> restartHost(host));
            }
            case STORE_DOWN -> {
                activeStoreOutages++;
                site.store().down(true);
                scheduleRepair(millis, this::endStoreOutage);
            }
            case STORE_SILENT -> disruptStoreLink(() -> site.storeLink(host).state(LinkState.dropping()), millis, host);
            case STORE_CUT -> disruptStoreLink(() -> site.storeLink(host).state(LinkState.partitioned()), millis, host);
            case STORE_FORGETS -> site.store().dropHistory();
            case REPLICA_SILENT -> site.replicaLink(replica).dropBytesOfOpenConnections();
            case REPLICA_CUT -> disruptReplicaLink(replica, LinkState.partitioned(), millis);
            case REPLICA_LATE -> disruptReplicaLink(replica, LinkState.delayed(draw.nextLong(50, 400)), millis);
            case REPLICA_REPLACED -> site.replaceReplica(replica);
            case CONFIGURATION_CHANGES -> site.applyNextConfiguration();
            case REPLICA_LIMITED -> {
                site.limitReplica(replica, Option.some("1"));
                scheduleRepair(LIMITED_PERIODS * millis, () -> site.limitReplica(replica, Option.none()));
            }
            case CRASHING_REQUEST -> sendCrashingRequest(draw);
            case CRASHING_PROMPT_PART -> sendCrashingPrompts(draw);
            case REPLICA_CLOSE_DELIMITED -> {
                BodyEnd end = BodyEnd.values()[draw.nextInt(1, BodyEnd.values().length)];
                site.endBodies(replica, end);
                scheduleRepair(millis, () -> site.endBodies(replica, BodyEnd.MARKED));
            }
            case REPLICA_ANSWERS_LATE -> {
                site.answerLate(replica, LateAnswers.of(draw.nextLong()));
                scheduleRepair(millis, () -> site.answerOnce(replica));
            }
            case REPLICA_HEADS_MALFORMED -> {
                site.breakHeads(replica, MalformedHeads.of(draw.nextLong()));
                scheduleRepair(millis, () -> site.sendSoundHeads(replica));
            }
            case REPLICA_PAUSED -> {
                site.pauseReplica(replica, LIMITED_PERIODS * millis);
                scheduleRepair(LIMITED_PERIODS * millis, () -> site.resumeReplica(replica));
            }
            case REPLICA_LEAVES -> {
                site.letReplicaLeave(replica);
                scheduleRepair(LIMITED_PERIODS * millis, () -> removeLeaving(replica));
            }
            case STORE_RESTORED -> {
                site.store().keepCopy();
                scheduleRepair(millis, this::restoreStore);
            }
            default -> throw new IllegalStateException("unsupported fault " + fault);
        }
    }

    private static boolean affectsHostProcess(SoakFault fault) {
        return fault == SoakFault.FREEZE_HOST || fault == SoakFault.KILL_HOST || fault == SoakFault.STOP_HOST;
    }

    /** Operator changes and replica registrations fail while the store rejects calls. */
    private static boolean needsStoreWrite(SoakFault fault) {
        return fault == SoakFault.REPLICA_REPLACED || fault == SoakFault.CONFIGURATION_CHANGES;
    }

    /** The store is written after it has come back, which is not possible while it is down. */
    private void restoreStore() {
        if (activeStoreOutages > 0) {
            scheduleRepair(RETRY_MILLIS, this::restoreStore);
        } else {
            site.restoreStore();
        }
    }

    private void removeLeaving(String replica) {
        if (activeStoreOutages > 0) {
            scheduleRepair(RETRY_MILLIS, () -> removeLeaving(replica));
        } else {
            site.replaceIfPresent(replica);
        }
    }

    /** Checks that hosts that were not restarted, suspended or cut off kept to what replicas had said. */
    private void checkUnwantedRequests(List<String> violations) {
        int disturbances = SoakFault.EXCUSING.stream()
                .mapToInt(fault -> faultCounts.getOrDefault(fault, 0))
                .sum();
        int allowed = UNWANTED_REQUESTS_PER_HOST * (site.hostNames().size() + disturbances);
        if (site.unwantedRequests().count() > allowed) {
            violations.add(
                    site.unwantedRequests().count() + " requests reached replicas that wanted none, of " + allowed);
        }
    }

    private void endStoreOutage() {
        activeStoreOutages--;
        site.store().down(activeStoreOutages > 0);
    }

    private void disruptStoreLink(Runnable fault, long millis, String host) {
        fault.run();
        scheduleRepair(millis, () -> site.storeLink(host).state(LinkState.up()));
    }

    private void disruptReplicaLink(String replica, LinkState state, long millis) {
        org.rattanplank.standins.link.Link link = site.replicaLink(replica);
        link.state(state);
        scheduleRepair(millis, () -> link.state(LinkState.up()));
    }

    /** A process that was asked to stop may still be running, so its termination is awaited before the restart. */
    private void restartHost(String host) {
        ChildProcess child = site.hostProcess(host);
        child.resume();
        child.terminate();
        child.awaitExit();
        site.startHost(host);
    }

    private void scheduleRepair(long millis, Runnable action) {
        pendingRepairs.add(new Repair(System.nanoTime() + millis * NANOS_PER_MILLI, action));
    }

    private void runDueRepairs() {
        List<Repair> due = pendingRepairs.stream()
                .filter(repair -> repair.dueNanos <= System.nanoTime())
                .toList();
        pendingRepairs.removeAll(due);
        due.forEach(repair -> repair.action.run());
    }

    /** Waits until every host serves both streams and bookings after all faults have been repaired. */
    private void awaitRecovery() {
        site.hostNames().stream()
                .filter(host -> !site.hostProcess(host).isAlive())
                .forEach(site::startHost);
        for (InetSocketAddress host : site.callerAddresses()) {
            for (boolean stream : List.of(true, false)) {
                Poll.until(host + " serves complete responses again", RECOVERY_TIMEOUT_MILLIS, () -> {
                    SoakCall call = SoakCaller.call(host, "r" + lastCallNumber.incrementAndGet(), stream);
                    calls.add(call);
                    return call.status() == STATUS_OK && call.complete();
                });
            }
        }
    }

    private record Repair(long dueNanos, Runnable action) {}

    /** Command-line options. Written by JCommander before any thread reads them and never changed afterwards. */
    private static final class Options {
        @Parameter(names = "--seed", description = "the first seed")
        private long seed = 1;

        @Parameter(names = "--seeds", description = "the number of seeds")
        private int seeds = 1;

        @Parameter(names = "--seconds", description = "how long faults are injected for each seed")
        private int seconds = 20;

        @Parameter(names = "--hosts", description = "the number of gateway processes of each of the two regions")
        private int hosts = DEFAULT_HOSTS_PER_REGION;
    }
}
