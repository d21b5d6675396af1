package org.rattanplank.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Option;
import org.rattanplank.bench.process.ChildProcess;
import org.rattanplank.platform.PlatformMain;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.link.Link;
import org.rattanplank.standins.platform.SiteStore;
import org.rattanplank.standins.site.BodyEnd;
import org.rattanplank.standins.site.CrashCause;
import org.rattanplank.standins.site.ExecutedRequest;
import org.rattanplank.standins.site.LateAnswers;
import org.rattanplank.standins.site.MalformedHeads;
import org.rattanplank.standins.site.SentAnswer;
import org.rattanplank.standins.site.SiteConfigurations;
import org.rattanplank.standins.site.SiteHost;
import org.rattanplank.standins.site.SiteReplica;
import org.rattanplank.standins.site.SiteSettings;
import org.rattanplank.standins.site.SiteStoreClient;

/**
 * A small installation: the store and the replicas run in this process, each gateway in a process of its own, connected
 * by links into which faults can be injected.
 *
 * <p>Invariant: closing it terminates every process that it started. Confined to the thread of the soak test, except for
 * what the replicas count, which is thread safe.
 */
final class SoakSite implements AutoCloseable {
    static final List<String> REGIONS = List.of("suva", "labasa");
    private static final int REPLICAS_PER_REGION = 2;
    private static final int CALLER_PORT = 17_400;

    /** The port of the metrics in the template for the settings. */
    private static final int METRICS_PORT = 9_464;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    /** Most runs go on without a pause, so that hosts and callers expect none. */
    private static final int RUNS_PER_PAUSE = 3;

    private static final int RUNS_PER_LONG_PAUSE = 2 * RUNS_PER_PAUSE;
    private static final int OCTET_VALUES = 250;
    private static final int FIRST_HOST_OCTET = 100;

    /** The loopback addresses of all hosts differ in one octet. */
    private static final int MAX_HOSTS_PER_REGION = (OCTET_VALUES - FIRST_HOST_OCTET) / REGIONS.size();

    private final EventLoop loop = EventLoop.of();
    private final SiteStore store = SiteStore.of(loop);
    private final SiteStoreClient operator;
    private final InetSocketAddress storeAddress;
    private final Path folder;
    private final Path template;
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> callerAddresses = new LinkedHashMap<>();
    private final Map<String, Link> storeLinks = new LinkedHashMap<>();
    private final Map<String, Link> replicaLinks = new LinkedHashMap<>();
    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final Map<String, Link> linksToCrash = new ConcurrentHashMap<>();
    private final Map<String, String> limitsByReplica = new ConcurrentHashMap<>();
    private final Map<String, BodyEnd> bodyEnds = new ConcurrentHashMap<>();
    private final Map<String, LateAnswers> lateAnswers = new ConcurrentHashMap<>();
    private final Map<String, MalformedHeads> malformedHeads = new ConcurrentHashMap<>();
    private final Queue<SentAnswer> sentAnswers = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> pauseEndNanos = new ConcurrentHashMap<>();
    private final Set<String> leavingReplicas = ConcurrentHashMap.newKeySet();
    private final List<String> removedReplicas = new ArrayList<>();
    private final ReplicaRequests unwantedRequests = new ReplicaRequests();
    private final Queue<String> crashedReplicas = new ConcurrentLinkedQueue<>();
    private final Map<CrashCause, Integer> crashCounts = new ConcurrentHashMap<>();
    private final AccountUse accountUse = new AccountUse();
    private final Map<String, Long> finishedMillis = new ConcurrentHashMap<>();
    private final AtomicLong runNumber = new AtomicLong();
    private volatile long maxPauseMillis;
    private final Map<String, List<String>> earlierLines = new HashMap<>();
    private int lastReplicaNumber;
    private long configurationVersion;

    /**
     * Starts an installation.
     *
     * @param folder where the settings are written
     * @param template the template for the gateway settings
     * @param hostsPerRegion the number of gateway processes of each region
     */
    SoakSite(Path folder, Path template, int hostsPerRegion) {
        if (hostsPerRegion < 1 || hostsPerRegion > MAX_HOSTS_PER_REGION) {
            throw new IllegalArgumentException(
                    "a region has 1 to " + MAX_HOSTS_PER_REGION + " hosts, not " + hostsPerRegion);
        }
        this.folder = folder;
        this.template = template;
        storeAddress = store.serve(0);
        operator = SiteStoreClient.of(Addresses.format(storeAddress));
        for (String region : REGIONS) {
            for (int i = 0; i < REPLICAS_PER_REGION; i++) {
                addReplica(region, true);
                addReplica(region, false);
            }
        }
        applyNextConfiguration();
        int number = 0;
        for (String region : REGIONS) {
            for (int i = 0; i < hostsPerRegion; i++) {
                number++;
                String name = region + "-" + (i + 1);
                storeLinks.put(name, Link.open(loop, storeAddress));
                writeSettings(name, region, number);
                startHost(name);
            }
        }
        processes.values().forEach(ChildProcess::awaitReady);
    }

    Map<String, Integer> runCounts() {
        return runCounts;
    }

    /** Returns what the replicas answered, run by run. */
    List<SentAnswer> sentAnswers() {
        return List.copyOf(sentAnswers);
    }

    /** Returns when a replica had sent its whole answer to a request, by the identifier of the request. */
    Map<String, Long> finishedMillis() {
        return finishedMillis;
    }

    /** Lets some runs of all replicas pause, for a time or half of it; zero ends that. */
    void pauseRuns(long newMaxPauseMillis) {
        maxPauseMillis = newMaxPauseMillis;
    }

    ReplicaRequests unwantedRequests() {
        return unwantedRequests;
    }

    AccountUse accountUse() {
        return accountUse;
    }

    SiteStore store() {
        return store;
    }

    List<String> hostNames() {
        return List.copyOf(processes.keySet());
    }

    ChildProcess hostProcess(String name) {
        return processes.get(name);
    }

    InetSocketAddress callerAddress(String host) {
        return callerAddresses.get(host);
    }

    List<InetSocketAddress> callerAddresses() {
        return List.copyOf(callerAddresses.values());
    }

    Link storeLink(String host) {
        return storeLinks.get(host);
    }

    List<String> replicaIds() {
        return List.copyOf(replicaLinks.keySet());
    }

    Link replicaLink(String id) {
        return replicaLinks.get(id);
    }

    /** Returns how many targets of its region a host may send requests to, or none if it doesn't answer. */
    Option<Long> knownTargets(String host) {
        InetSocketAddress metrics =
                new InetSocketAddress(callerAddresses.get(host).getAddress(), METRICS_PORT);
        return SoakCaller.metric(metrics, "rattanplank_gateway_targets");
    }

    /** Returns how many targets of a host's region are registered. */
    long registeredTargets(String host) {
        String region = host.split("-")[0];
        return replicaLinks.keySet().stream()
                .filter(id -> id.split("-")[1].equals(region))
                .count();
    }

    /** Starts a host that is not running, with its previous name and address. */
    void startHost(String name) {
        Option.of(processes.get(name)).forEach(previous -> earlierLines
                .computeIfAbsent(name, each -> new ArrayList<>())
                .addAll(previous.lines()));
        processes.put(
                name,
                ChildProcess.start(
                        name,
                        "{\"event\":\"started\"",
                        folder.resolve(name + ".err").toFile(),
                        Map.of(
                                "RATTANPLANK_CONFIG",
                                folder.resolve(name + ".yaml").toString()),
                        PlatformMain.class.getName(),
                        List.of()));
    }

    /** Removes a replica and adds one of the same service and region with a new identifier. */
    void replaceReplica(String id) {
        operator.removeTarget(id);
        replicaLinks.remove(id);
        removedReplicas.add(id);
        unwantedRequests.wanted(id);
        addReplica(id.split("-")[1], id.startsWith("w"));
    }

    /** Replaces a replica unless another fault has done so already. */
    void replaceIfPresent(String id) {
        if (replicaLinks.containsKey(id)) {
            replaceReplica(id);
        }
    }

    /** Makes a replica name a limit in its responses, or none any more. */
    void limitReplica(String id, Option<String> perSecond) {
        perSecond.forEach(limit -> limitsByReplica.put(id, limit));
        if (perSecond.isEmpty()) {
            limitsByReplica.remove(id);
        }
    }

    /** Sets how a replica ends the bodies of its responses. */
    void endBodies(String id, BodyEnd end) {
        bodyEnds.put(id, end);
    }

    /** Lets runs of a replica fail, and second answers arrive late. */
    void answerLate(String id, LateAnswers draws) {
        lateAnswers.put(id, draws);
    }

    /** Lets each run of a replica succeed and be answered once. */
    void answerOnce(String id) {
        lateAnswers.remove(id);
    }

    /** Lets answers of a replica have malformed heads. */
    void breakHeads(String id, MalformedHeads draws) {
        malformedHeads.put(id, draws);
    }

    /** Lets each answer of a replica have a sound head. */
    void sendSoundHeads(String id) {
        malformedHeads.remove(id);
    }

    /** Lets a replica reject all requests and ask for a pause until a time. */
    void pauseReplica(String id, long millis) {
        pauseEndNanos.put(id, System.nanoTime() + millis * NANOS_PER_MILLI);
        unwantedRequests.unwanted(id, nowMillis());
    }

    /** Ends the pause of a replica. */
    void resumeReplica(String id) {
        pauseEndNanos.remove(id);
        if (!leavingReplicas.contains(id)) {
            unwantedRequests.wanted(id);
        }
    }

    /** Lets a replica say in its responses that it leaves. */
    void letReplicaLeave(String id) {
        leavingReplicas.add(id);
        unwantedRequests.unwanted(id, nowMillis());
    }

    /** Lets a replica that leaves end its responses whole, with their connections. */
    void beginShutdown(String id) {
        letReplicaLeave(id);
        endBodies(id, BodyEnd.CLOSED);
    }

    /** Lets the store come back from the copy that it kept, and writes again what operators and replicas wrote since. */
    void restoreStore() {
        store.restore();
        removedReplicas.forEach(operator::removeTarget);
        replicaLinks.forEach((id, link) -> register(id, link));
        configure();
    }

    /** Returns how many replicas a cause has crashed. */
    int crashCount(CrashCause cause) {
        return crashCounts.getOrDefault(cause, 0);
    }

    /** Starts a replica in place of each that has crashed, under a new identifier. */
    void replaceCrashedReplicas() {
        for (String id = crashedReplicas.poll(); id != null; id = crashedReplicas.poll()) {
            replaceIfPresent(id);
        }
    }

    /** Writes the next version of the configuration to the store. */
    void applyNextConfiguration() {
        configurationVersion++;
        configure();
    }

    private void configure() {
        operator.configure(SiteConfigurations.withAccounts(
                SiteConfigurations.withQuestions(SiteConfigurations.of(configurationVersion)),
                configurationVersion == 1));
    }

    /**
     * Writes what the hosts have logged, also before they were started again, to files, so that a failure can be
     * traced.
     */
    void writeLogs(Path logFolder) {
        try {
            Files.createDirectories(logFolder);
            for (Map.Entry<String, ChildProcess> process : processes.entrySet()) {
                List<String> lines = new ArrayList<>(earlierLines.getOrDefault(process.getKey(), List.of()));
                lines.addAll(process.getValue().lines());
                Files.write(logFolder.resolve(process.getKey() + ".log"), lines);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ChildProcess::close);
        loop.close();
    }

    private void addReplica(String region, boolean streams) {
        lastReplicaNumber++;
        String id = (streams ? "w-" : "d-") + region + "-" + lastReplicaNumber;
        InetSocketAddress address = SiteReplica.serve(loop, id, streams, new ReplicaListener(id));
        Link link = Link.open(loop, address);
        replicaLinks.put(id, link);
        linksToCrash.put(id, link);
        register(id, link);
    }

    private void register(String id, Link link) {
        String service = id.startsWith("w") ? SiteConfigurations.WRITER_SERVICE : SiteConfigurations.DESK_SERVICE;
        operator.registerTarget(id, service, link.address(), id.split("-")[1] + "-hall");
    }

    static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private void writeSettings(String name, String region, int number) {
        long pid = ProcessHandle.current().pid();
        // The loopback address is derived from the process id, so that two runs on one host do not compete for ports.
        String ip = "127." + (1 + pid / OCTET_VALUES % OCTET_VALUES) + "." + (1 + pid % OCTET_VALUES) + "."
                + (FIRST_HOST_OCTET + number);
        callerAddresses.put(name, new InetSocketAddress(ip, CALLER_PORT));
        SiteHost host = new SiteHost(
                name, region, REGIONS, ip, CALLER_PORT, storeLinks.get(name).address());
        try {
            SiteSettings.write(template, folder.resolve(name + ".yaml"), host);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Counts what a replica executes, and lets it crash once. Called on the event loop. */
    private final class ReplicaListener implements SiteReplica.Listener {
        private final String id;
        private boolean crashed;

        private ReplicaListener(String id) {
            this.id = id;
        }

        @Override
        public void executed(ExecutedRequest request) {
            runCounts.merge(request.id(), 1, Integer::sum);
            accountUse.executed(request, nowMillis());
        }

        @Override
        public void answered(SentAnswer answer) {
            sentAnswers.add(answer);
        }

        @Override
        public void finished(String requestId) {
            finishedMillis.put(requestId, nowMillis());
        }

        @Override
        public long pauseMillis() {
            long number = runNumber.incrementAndGet();
            return number % RUNS_PER_PAUSE > 0
                    ? 0
                    : number % RUNS_PER_LONG_PAUSE > 0 ? maxPauseMillis / 2 : maxPauseMillis;
        }

        /** A host that can't read an answer doesn't learn from it that the replica leaves. */
        @Override
        public Option<LateAnswers> lateAnswers() {
            return Option.of(lateAnswers.get(id)).filter(draws -> !isLeaving());
        }

        /** None while it leaves, for the same reason. */
        @Override
        public Option<MalformedHeads> malformedHeads() {
            return Option.of(malformedHeads.get(id)).filter(draws -> !isLeaving());
        }

        @Override
        public void arrived() {
            unwantedRequests.arrived(id, nowMillis());
        }

        @Override
        public boolean isLeaving() {
            return leavingReplicas.contains(id);
        }

        @Override
        public Option<Long> pauseSeconds() {
            return Option.of(pauseEndNanos.get(id))
                    .map(end -> 1 + Math.max(0, end - System.nanoTime()) / NANOS_PER_SECOND);
        }

        @Override
        public void crashed(CrashCause cause) {
            if (crashed) {
                return;
            }
            crashed = true;
            int crashes = crashCounts.merge(cause, 1, Integer::sum);
            Link link = linksToCrash.get(id);
            if (crashes % 2 == 0) {
                link.crash();
            } else {
                link.kill();
            }
            crashedReplicas.add(id);
        }

        @Override
        public BodyEnd bodyEnd() {
            return bodyEnds.getOrDefault(id, BodyEnd.MARKED);
        }

        @Override
        public Option<String> rateLimit() {
            return Option.of(limitsByReplica.get(id));
        }
    }
}
