package org.rattanplank.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.vavr.control.Option;

/**
 * Quarantines requests that crash the targets that run them, and prompt parts that crash the targets that answer requests
 * with them, from evidence that all hosts exchange.
 *
 * <p>Invariants: merging evidence in any order, late or several times gives the same result; evidence expires, and the
 * oldest of requests with few crashes is dropped first when there is too much of it; a request that a target has
 * completed since is not suspected because of earlier crashes. Confined to its owner's thread.
 */
public final class CrashQuarantine {
    /** How long evidence counts, so that a quarantine lapses by itself. */
    public static final long EXPIRY_MILLIS = 600_000;

    /** The maximum number of pieces of evidence; sent to another host they take about 50 KB. */
    public static final int MAX_EVIDENCE = 1_024;

    /** The number of pieces that are kept when there are too many. */
    private static final int KEPT_EVIDENCE = MAX_EVIDENCE * 3 / 4;

    /**
     * The number of crashes from which on no host retries a request by itself: after a second one the request is more
     * likely to crash a third target than to be served.
     */
    static final int CRASHES_WITHOUT_RETRY = 2;

    private final Map<Fingerprint, Map<String, Entry>> entries = new LinkedHashMap<>();
    private int size;
    private Blame blame = Blame.NONE;

    private CrashQuarantine() {}

    /**
     * Creates a quarantine without evidence.
     *
     * @return the quarantine
     */
    public static CrashQuarantine empty() {
        return new CrashQuarantine();
    }

    /**
     * Returns whether there is no evidence, so that no request needs a fingerprint.
     *
     * @return whether no request is suspected
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns whether a request must not be sent to any target.
     *
     * @param fingerprint the request
     * @return whether it is quarantined
     */
    public boolean isQuarantined(Fingerprint fingerprint) {
        return blame.requests().contains(fingerprint);
    }

    /**
     * Returns the prompt parts for which a request must not be sent to any target.
     *
     * @param promptParts the identifiers of the parts of the request that others may share
     * @return the identifiers of those that are quarantined together, or none if it may be sent
     */
    public List<String> quarantinedParts(List<String> promptParts) {
        if (blame.partGroups().isEmpty() || promptParts.isEmpty()) {
            return List.of();
        }
        Map<Fingerprint, String> parts = new HashMap<>();
        promptParts.forEach(id -> parts.put(Fingerprint.ofPromptPart(id), id));
        for (Set<Fingerprint> group : blame.partGroups()) {
            if (parts.keySet().containsAll(group)) {
                return group.stream().map(parts::get).sorted().toList();
            }
        }
        return List.of();
    }

    /**
     * Returns whether a request must not be sent to any target.
     *
     * @param request returns the request; called only if there is evidence
     * @return whether it or one of its prompt parts is quarantined
     */
    public boolean isQuarantined(Supplier<RequestIdentity> request) {
        return !isEmpty() && isQuarantined(request.get());
    }

    boolean isQuarantined(RequestIdentity request) {
        return isQuarantined(request.fingerprint())
                || !quarantinedParts(request.promptParts()).isEmpty();
    }

    /**
     * Returns whether a host may retry a request, or continue it elsewhere, on its own.
     *
     * @param request returns the request; called only if there is evidence
     * @return whether so few targets crashed under it, and under different requests with one of its prompt parts, that it
     *     is probably not the cause
     */
    public boolean mayRetry(Supplier<RequestIdentity> request) {
        return isEmpty() || mayRetry(request.get());
    }

    boolean mayRetry(RequestIdentity request) {
        if (!mayRetry(request.fingerprint())) {
            return false;
        }
        for (String id : request.promptParts()) {
            Map<String, Entry> crashes = entries.getOrDefault(Fingerprint.ofPromptPart(id), Map.of());
            long requests = usesOf(crashes).values().stream()
                    .map(PromptPartUse::request)
                    .distinct()
                    .count();
            if (requests >= CRASHES_WITHOUT_RETRY) {
                return false;
            }
        }
        return true;
    }

    boolean mayRetry(Fingerprint fingerprint) {
        return crashCount(entries.getOrDefault(fingerprint, Map.of())) < CRASHES_WITHOUT_RETRY;
    }

    /**
     * Records a crash that this host has noticed.
     *
     * @param target the text of the target's incarnation
     * @param lost the requests of this host that were in flight there
     * @param source the name of this host
     * @param nowMillis the time
     * @return the change
     */
    public EvidenceChange recordCrash(String target, Collection<LostRequest> lost, String source, long nowMillis) {
        List<CrashEvidence> evidence = new ArrayList<>();
        Map<String, PromptPartUse> usesByPart = new HashMap<>();
        for (LostRequest each : lost) {
            Fingerprint request = each.identity().fingerprint();
            evidence.add(new CrashEvidence(target, request, false, 0));
            for (String id : each.identity().promptParts()) {
                usesByPart.merge(id, new PromptPartUse(id, request, each.inFlightMillis()), PromptPartUse::merge);
            }
        }
        usesByPart.values().forEach(use -> evidence.add(CrashEvidence.ofPromptPart(target, use, false, 0)));
        return merge(evidence, source, nowMillis);
    }

    /**
     * Merges evidence of another host.
     *
     * @param evidence the evidence
     * @param source the name of the other host
     * @param nowMillis the time
     * @return the change
     */
    public EvidenceChange merge(List<CrashEvidence> evidence, String source, long nowMillis) {
        List<CrashEvidence> news = new ArrayList<>();
        for (CrashEvidence each : evidence) {
            if (each.ageMillis() < EXPIRY_MILLIS && add(each, source, nowMillis)) {
                news.add(each);
            }
        }
        return news.isEmpty() ? new EvidenceChange(news, List.of()) : changed(news, nowMillis);
    }

    /**
     * Clears a request or a prompt part of all crashes known so far, as a target has completed it or an operator lifts its
     * quarantine.
     *
     * @param fingerprint the request or the part
     * @param nowMillis the time
     * @return the change
     */
    public EvidenceChange clear(Fingerprint fingerprint, long nowMillis) {
        return clear(fingerprint, nowMillis, nowMillis);
    }

    /**
     * Clears a request or a prompt part of the crashes until a time.
     *
     * @param fingerprint the request or the part
     * @param untilMillis the time until which crashes are not its fault
     * @param nowMillis the time
     * @return the change
     */
    public EvidenceChange clear(Fingerprint fingerprint, long untilMillis, long nowMillis) {
        List<CrashEvidence> cleared = new ArrayList<>();
        entries.getOrDefault(fingerprint, Map.of()).forEach((target, entry) -> {
            // Threads of a host may come with slightly older times than others.
            if (!entry.cleared && (untilMillis >= nowMillis || entry.atMillis <= untilMillis)) {
                cleared.add(new CrashEvidence(target, fingerprint, entry.partUse, true, entry.ageMillis(nowMillis)));
            }
        });
        return merge(cleared, "", nowMillis);
    }

    /**
     * Returns what is quarantined together with a request or a prompt part.
     *
     * @param fingerprint the request or the part
     * @return it and the parts that no crash tells from it; empty if it is not quarantined
     */
    public Set<Fingerprint> quarantinedWith(Fingerprint fingerprint) {
        return isQuarantined(fingerprint) ? Set.of(fingerprint) : blame.groupOf(fingerprint);
    }

    /**
     * Drops expired evidence.
     *
     * @param nowMillis the time
     */
    public void tick(long nowMillis) {
        int before = size;
        for (Map<String, Entry> crashes : entries.values()) {
            int count = crashes.size();
            crashes.values().removeIf(entry -> nowMillis - entry.atMillis >= EXPIRY_MILLIS);
            size -= count - crashes.size();
        }
        if (size < before) {
            entries.values().removeIf(Map::isEmpty);
            blame = decide();
        }
    }

    /**
     * Returns all evidence, for a host that has just been connected.
     *
     * @param nowMillis the time
     * @return the evidence
     */
    public List<CrashEvidence> evidence(long nowMillis) {
        List<CrashEvidence> all = new ArrayList<>();
        entries.keySet().forEach(fingerprint -> all.addAll(evidence(fingerprint, nowMillis)));
        return all;
    }

    /**
     * Returns the evidence against one request or prompt part.
     *
     * @param fingerprint the request or the part
     * @param nowMillis the time
     * @return the evidence, also what was cleared
     */
    public List<CrashEvidence> evidence(Fingerprint fingerprint, long nowMillis) {
        List<CrashEvidence> evidence = new ArrayList<>();
        entries.getOrDefault(fingerprint, Map.of())
                .forEach((target, entry) -> evidence.add(new CrashEvidence(
                        target, fingerprint, entry.partUse, entry.cleared, entry.ageMillis(nowMillis))));
        return evidence;
    }

    /**
     * Returns the requests and prompt parts that are quarantined.
     *
     * @param nowMillis the time
     * @return the requests and parts with the crashes of each
     */
    public List<QuarantineEntry> quarantined(long nowMillis) {
        return blame.suspects().stream()
                .map(fingerprint -> quarantineEntry(fingerprint, nowMillis))
                .toList();
    }

    private QuarantineEntry quarantineEntry(Fingerprint fingerprint, long nowMillis) {
        List<String> promptParts =
                blame.groupOf(fingerprint).stream().map(this::partId).sorted().toList();
        return new QuarantineEntry(
                fingerprint,
                promptParts,
                entries.get(fingerprint).entrySet().stream()
                        .filter(each -> !each.getValue().cleared)
                        .sorted(Comparator.comparingLong(each -> each.getValue().atMillis))
                        .map(each -> new QuarantineEntry.Crash(
                                each.getKey(),
                                each.getValue().source,
                                each.getValue().ageMillis(nowMillis)))
                        .toList());
    }

    private String partId(Fingerprint part) {
        return entries.get(part).values().stream()
                .flatMap(entry -> entry.partUse.toJavaStream())
                .map(PromptPartUse::id)
                .findFirst()
                .orElseThrow();
    }

    /** Adds evidence and returns whether it tells anything new. */
    private boolean add(CrashEvidence evidence, String source, long nowMillis) {
        Map<String, Entry> crashes = entries.computeIfAbsent(evidence.fingerprint(), each -> new HashMap<>());
        Entry known = crashes.get(evidence.target());
        if (known == null) {
            size++;
            long atMillis = nowMillis - evidence.ageMillis();
            crashes.put(evidence.target(), new Entry(atMillis, evidence.cleared(), evidence.partUse(), source));
            return true;
        }
        Entry merged = known.merge(evidence);
        crashes.put(evidence.target(), merged);
        return !merged.equals(known);
    }

    private EvidenceChange changed(List<CrashEvidence> news, long nowMillis) {
        Set<Fingerprint> before = blame.suspects();
        if (dropExcess() || mayChangeBlame(news)) {
            blame = decide();
        }
        return new EvidenceChange(
                news,
                blame.suspects().stream()
                        .filter(fingerprint -> !before.contains(fingerprint))
                        .map(fingerprint -> quarantineEntry(fingerprint, nowMillis))
                        .toList());
    }

    /**
     * Returns whether new evidence may change what is to blame. Most evidence is of requests and parts with one or two
     * crashes, beside one that is quarantined already.
     */
    private boolean mayChangeBlame(List<CrashEvidence> news) {
        Set<Fingerprint> quarantined = blame.suspects();
        if (news.stream().anyMatch(each -> quarantined.contains(each.fingerprint()))) {
            return true;
        }
        for (Map.Entry<Fingerprint, Map<String, Entry>> each : entries.entrySet()) {
            if (crashCount(each.getValue()) >= CrashBlame.MIN_CRASHES && !quarantined.contains(each.getKey())) {
                return true;
            }
        }
        return false;
    }

    private Blame decide() {
        Map<Fingerprint, Map<String, Long>> crashTimes = new HashMap<>();
        Map<Fingerprint, Map<String, PromptPartUse>> usesByPart = new HashMap<>();
        entries.forEach((fingerprint, crashes) -> {
            crashTimes.put(fingerprint, crashTimes(crashes));
            Map<String, PromptPartUse> uses = usesOf(crashes);
            if (!uses.isEmpty()) {
                usesByPart.put(fingerprint, uses);
            }
        });
        return CrashBlame.of(crashTimes, usesByPart);
    }

    /** Returns the uses of a part at the crashes of which it is not cleared; empty if the suspect is a request. */
    private static Map<String, PromptPartUse> usesOf(Map<String, Entry> crashes) {
        Map<String, PromptPartUse> uses = new HashMap<>();
        crashes.forEach((target, entry) -> {
            if (!entry.cleared) {
                entry.partUse.forEach(use -> uses.put(target, use));
            }
        });
        return uses;
    }

    private static Map<String, Long> crashTimes(Map<String, Entry> crashes) {
        Map<String, Long> times = new HashMap<>();
        crashes.forEach((target, entry) -> {
            if (!entry.cleared) {
                times.put(target, entry.atMillis);
            }
        });
        return times;
    }

    /**
     * Drops the requests with the fewest crashes, of these the ones whose last crash was first. It makes more room than
     * needed, as sorting takes far longer than adding a piece of evidence.
     *
     * @return whether there was too much
     */
    private boolean dropExcess() {
        if (size <= MAX_EVIDENCE) {
            return false;
        }
        List<Fingerprint> order = entries.keySet().stream()
                .sorted(Comparator.comparingInt((Fingerprint each) -> crashCount(entries.get(each)))
                        .thenComparingLong(each -> lastCrashMillis(entries.get(each))))
                .toList();
        for (Fingerprint each : order) {
            if (size <= KEPT_EVIDENCE) {
                break;
            }
            size -= entries.remove(each).size();
        }
        return true;
    }

    private static int crashCount(Map<String, Entry> crashes) {
        int count = 0;
        for (Entry entry : crashes.values()) {
            count += entry.cleared ? 0 : 1;
        }
        return count;
    }

    private static long lastCrashMillis(Map<String, Entry> crashes) {
        return crashes.values().stream().mapToLong(Entry::atMillis).max().orElse(0);
    }

    private record Entry(long atMillis, boolean cleared, Option<PromptPartUse> partUse, String source) {
        /** Returns the time since the crash; threads of a host may come with slightly older times than others. */
        private long ageMillis(long nowMillis) {
            return Math.max(0, nowMillis - atMillis);
        }

        private Entry merge(CrashEvidence evidence) {
            Option<PromptPartUse> use =
                    partUse.flatMap(own -> evidence.partUse().map(own::merge));
            return new Entry(atMillis, cleared || evidence.cleared(), use.orElse(partUse), source);
        }
    }
}
