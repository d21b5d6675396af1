package org.rattanplank.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Simulates hosts and engines in virtual time: innocent requests, requests that crash each engine that runs them, engines
 * that crash by themselves, and hosts that restart or are cut off.
 *
 * <p>Confined to one thread; a seed gives the same run.
 */
final class CrashSimulation {
    /** The part that all requests with prompt parts begin with. */
    static final String FIRST_PART = "first";

    private static final String CRASHING_PART = "crashing";
    private static final int REGIONS = 3;
    private static final int HOSTS_PER_REGION = 3;
    private static final int ENGINES_PER_REGION = 3;
    private static final int MAX_ATTEMPTS = 2;
    private static final int CALLER_RETRIES = 1;
    private static final int CALLER_RETRY_MILLIS = 200;
    private static final int RESTART_MILLIS = 3_000;
    private static final int CHECK_MILLIS = 2;
    private static final int OWN_REGION_DELAY_MILLIS = 2;
    private static final int OTHER_REGION_DELAY_MILLIS = 80;
    private static final int END_MILLIS = 40_000;

    /** How long a host must have been undisturbed for its sends to count, and the time after a crash until they do. */
    private static final long STABLE_MILLIS = 6_000;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Host> hosts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<Fingerprint, List<Long>> crashesByRequest = new HashMap<>();
    private final Map<Fingerprint, List<Long>> sendsByRequest = new HashMap<>();
    private long nowMillis;
    private long eventCount;
    private int incarnations;
    private int requests;
    private final List<Long> partCrashesAtMillis = new ArrayList<>();
    private final List<Long> partSendsAtMillis = new ArrayList<>();
    private int innocentRejected;
    private int innocentServed;
    private int innocentFailed;

    CrashSimulation(long seed) {
        this(seed, HOSTS_PER_REGION);
    }

    CrashSimulation(long seed, int hostsPerRegion) {
        random = new Random(seed);
        for (int region = 0; region < REGIONS; region++) {
            for (int i = 0; i < hostsPerRegion; i++) {
                hosts.add(new Host("h" + region + i, region));
            }
            for (int i = 0; i < ENGINES_PER_REGION; i++) {
                engines.add(new Engine(region));
            }
        }
    }

    /** Sends innocent requests to each host. */
    CrashSimulation innocentTraffic(int meanIntervalMillis) {
        hosts.forEach(host -> repeat(meanIntervalMillis, () -> arrive(new Request(newFingerprint(), false), host)));
        return this;
    }

    /**
     * Sends innocent requests with prompt parts to any host: the first, and one of several documents, of which each is asked
     * for half as often as the one before.
     */
    CrashSimulation promptTraffic(int meanIntervalMillis, int documents) {
        repeat(meanIntervalMillis, () -> {
            int document = 0;
            while (document < documents - 1 && random.nextBoolean()) {
                document++;
            }
            arrive(new Request(newFingerprint(), false, List.of(FIRST_PART, "document" + document)), randomHost());
        });
        return this;
    }

    /** Sends requests that share a crashing part and are otherwise different to any host. */
    CrashSimulation crashingPart(int firstMillis, int meanIntervalMillis) {
        at(
                firstMillis,
                () -> repeat(
                        meanIntervalMillis,
                        () -> arrive(
                                new Request(newFingerprint(), true, List.of(FIRST_PART, CRASHING_PART)),
                                randomHost())));
        return this;
    }

    /** Sends a crashing request again and again to any host, up to three copies at once. */
    CrashSimulation crashingRequest(int firstMillis, int meanIntervalMillis) {
        Fingerprint fingerprint = newFingerprint();
        crashesByRequest.put(fingerprint, new ArrayList<>());
        sendsByRequest.put(fingerprint, new ArrayList<>());
        at(
                firstMillis,
                () -> repeat(meanIntervalMillis, () -> {
                    for (int copies = 1 + random.nextInt(3); copies > 0; copies--) {
                        arrive(new Request(fingerprint, true), randomHost());
                    }
                }));
        return this;
    }

    /** Crashes that many engines at once, or one after the other, whatever they run. */
    CrashSimulation crashEngines(int atMillis, int count, int gapMillis) {
        for (int i = 0; i < count; i++) {
            at(atMillis + i * gapMillis, () -> engines.get(random.nextInt(engines.size()))
                    .crash());
        }
        return this;
    }

    /** Restarts a random host, which loses its evidence. */
    CrashSimulation restartHost(int atMillis) {
        at(atMillis, () -> randomHost().restart());
        return this;
    }

    /** Cuts a random host off from the others for a while; it serves on. */
    CrashSimulation cutHost(int atMillis, int forMillis) {
        at(atMillis, () -> {
            Host host = randomHost();
            host.cut = true;
            host.disturbedAtMillis = nowMillis + forMillis;
            at(nowMillis + forMillis, host::reconnect);
        });
        return this;
    }

    CrashSimulation run() {
        while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
            Event next = events.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        return this;
    }

    int innocentRejected() {
        return innocentRejected;
    }

    int innocentServed() {
        return innocentServed;
    }

    int innocentFailed() {
        return innocentFailed;
    }

    /** Returns how many engines crashed under each crashing request. */
    List<Integer> crashes() {
        return crashesByRequest.values().stream().map(List::size).toList();
    }

    /**
     * Returns how often each crashing request was sent later than the given time after its third crash, by hosts that
     * were neither cut off nor restarted within that time.
     */
    List<Long> sendsAfterThirdCrash() {
        return sendsByRequest.entrySet().stream()
                .map(each -> {
                    List<Long> crashes = crashesByRequest.get(each.getKey());
                    return crashes.size() < 3
                            ? 0L
                            : each.getValue().stream()
                                    .filter(at -> at > crashes.get(2) + STABLE_MILLIS)
                                    .count();
                })
                .toList();
    }

    /** Returns how many engines crashed under requests with the crashing part. */
    int crashesUnderPart() {
        return partCrashesAtMillis.size();
    }

    /**
     * Returns how often requests with the crashing part were sent later than the given time after its fifth crash, by hosts
     * that were neither cut off nor restarted within that time.
     */
    long partSendsAfterFifthCrash() {
        return partCrashesAtMillis.size() < 5
                ? 0
                : partSendsAtMillis.stream()
                        .filter(at -> at > partCrashesAtMillis.get(4) + STABLE_MILLIS)
                        .count();
    }

    private void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    private void repeat(int meanIntervalMillis, Runnable action) {
        at(nowMillis + 1 + (long) (-Math.log(1 - random.nextDouble()) * meanIntervalMillis), () -> {
            action.run();
            repeat(meanIntervalMillis, action);
        });
    }

    private Fingerprint newFingerprint() {
        return new Fingerprint(++requests, 0);
    }

    private Host randomHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    private void arrive(Request request, Host host) {
        request.attempts = 0;
        send(request, host);
    }

    private void send(Request request, Host host) {
        if (host.quarantine.isQuarantined(request.identity)) {
            innocentRejected += request.crashing ? 0 : 1;
            return;
        }
        List<Engine> usable = engines.stream()
                .filter(engine -> engine.up && engine.region == host.region && !request.excluded.contains(engine.name))
                .toList();
        if (usable.isEmpty()) {
            return;
        }
        Engine engine = usable.get(random.nextInt(usable.size()));
        request.attempts++;
        request.sentAtMillis = nowMillis;
        request.excluded.add(engine.name);
        engine.start(request, host);
    }

    private void lost(Request request, Host host) {
        if (request.attempts < MAX_ATTEMPTS && host.quarantine.mayRetry(request.identity)) {
            send(request, host);
        } else if (request.callerRetries++ < CALLER_RETRIES) {
            at(nowMillis + CALLER_RETRY_MILLIS, () -> arrive(request, randomHost()));
        } else if (!request.crashing) {
            innocentFailed++;
        }
    }

    private record Event(long atMillis, long number, Runnable action) {}

    private static final class Request {
        private final Fingerprint fingerprint;
        private final RequestIdentity identity;
        private final boolean crashing;
        private final Set<String> excluded = new HashSet<>();
        private int attempts;
        private int callerRetries;
        private long sentAtMillis;

        private Request(Fingerprint fingerprint, boolean crashing) {
            this(fingerprint, crashing, List.of());
        }

        private Request(Fingerprint fingerprint, boolean crashing, List<String> promptParts) {
            this.fingerprint = fingerprint;
            this.crashing = crashing;
            identity = new RequestIdentity(fingerprint, promptParts);
        }

        private LostRequest lost(long atMillis) {
            return new LostRequest(identity, atMillis - sentAtMillis);
        }

        private boolean hasCrashingPart() {
            return identity.promptParts().contains(CRASHING_PART);
        }
    }

    private final class Engine {
        private final int region;
        private final Map<Request, Host> running = new HashMap<>();
        private String name = "e" + incarnations++;
        private boolean up = true;

        private Engine(int region) {
            this.region = region;
        }

        private void start(Request request, Host host) {
            running.put(request, host);
            String incarnation = name;
            if (request.crashing) {
                List<Long> sends =
                        request.hasCrashingPart() ? partSendsAtMillis : sendsByRequest.get(request.fingerprint);
                List<Long> crashes =
                        request.hasCrashingPart() ? partCrashesAtMillis : crashesByRequest.get(request.fingerprint);
                if (nowMillis - host.disturbedAtMillis > STABLE_MILLIS) {
                    sends.add(nowMillis);
                }
                at(nowMillis + 50 + random.nextInt(250), () -> {
                    if (up && name.equals(incarnation)) {
                        crashes.add(nowMillis);
                        crash();
                    }
                });
                return;
            }
            at(nowMillis + 300 + random.nextInt(1_500), () -> {
                if (running.remove(request) != null) {
                    innocentServed++;
                    host.publish(host.quarantine.clear(request.fingerprint, nowMillis));
                    host.answered(request.identity.promptParts());
                }
            });
        }

        private void crash() {
            if (!up) {
                return;
            }
            up = false;
            String crashed = name;
            Map<Host, List<Request>> byHost = running.entrySet().stream()
                    .collect(Collectors.groupingBy(
                            Map.Entry::getValue, Collectors.mapping(Map.Entry::getKey, Collectors.toList())));
            running.clear();
            hosts.stream()
                    .filter(byHost::containsKey)
                    .forEach(host -> at(nowMillis + CHECK_MILLIS, () -> {
                        List<Request> lost = byHost.get(host);
                        host.publish(host.quarantine.recordCrash(
                                crashed,
                                host.answered.suspects(
                                        lost.stream()
                                                .map(each -> each.lost(nowMillis))
                                                .toList(),
                                        nowMillis),
                                host.name,
                                nowMillis));
                        lost.forEach(each -> lost(each, host));
                    }));
            at(nowMillis + RESTART_MILLIS, () -> {
                name = "e" + incarnations++;
                up = true;
            });
        }
    }

    private final class Host {
        private final String name;
        private final int region;
        private CrashQuarantine quarantine = CrashQuarantine.empty();
        private AnsweredRequests answered = AnsweredRequests.empty();
        private boolean cut;
        private long disturbedAtMillis = -STABLE_MILLIS;

        private Host(String name, int region) {
            this.name = name;
            this.region = region;
        }

        private void answered(List<String> promptParts) {
            answered.answered(promptParts, nowMillis);
            promptParts.forEach(id -> publish(quarantine.clear(Fingerprint.ofPromptPart(id), nowMillis)));
        }

        private void merge(List<CrashEvidence> evidence, String source) {
            EvidenceChange change = quarantine.merge(evidence, source, nowMillis);
            answered.innocents(change.news(), nowMillis)
                    .forEach((innocent, until) -> publish(quarantine.clear(innocent, until, nowMillis)));
        }

        private void publish(EvidenceChange change) {
            if (!change.news().isEmpty()) {
                hosts.forEach(other -> send(change.news(), other));
            }
        }

        private void send(List<CrashEvidence> evidence, Host other) {
            if (other == this || cut || other.cut) {
                return;
            }
            int delay = other.region == region ? OWN_REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS;
            at(nowMillis + delay, () -> other.merge(evidence, name));
        }

        private void restart() {
            quarantine = CrashQuarantine.empty();
            answered = AnsweredRequests.empty();
            disturbedAtMillis = nowMillis;
            exchangeAll();
        }

        private void reconnect() {
            cut = false;
            disturbedAtMillis = nowMillis;
            exchangeAll();
        }

        private void exchangeAll() {
            for (Host other : hosts) {
                send(quarantine.evidence(nowMillis), other);
                other.send(other.quarantine.evidence(nowMillis), this);
            }
        }
    }
}
