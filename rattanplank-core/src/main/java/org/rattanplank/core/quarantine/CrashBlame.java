package org.rattanplank.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.vavr.control.Option;

/**
 * Decides which requests and prompt parts are to blame for crashes of targets.
 *
 * <p>A crash ends all requests in flight at a target, of which one is to blame at most, or one of the parts that requests
 * share. A request is blamed if several targets crashed under it and nothing else was present at all of these crashes. A
 * part is blamed if targets crashed under several different requests with it, again and again, and no single request was
 * present at all of these crashes. Whatever else was present at them is not suspected because of them any more.
 *
 * <p>Invariants: the result depends on the evidence only, not on the order in which it arrived; a part that a single
 * request has brought to all of its crashes is not blamed, and parts that no crash tells apart are blamed together only.
 * Confined to its owner's thread.
 */
final class CrashBlame {
    /** Two crashes are not enough: a request whose target crashed is retried once, and that target may crash as well. */
    static final int MIN_CRASHES = 3;

    /**
     * The number of crashes for which a request is blamed even if others were present at all of them, or as many other
     * targets crashed without it. A request that is retried once by a host and once by its caller has fewer.
     */
    static final int CERTAIN_CRASHES = 5;

    /** The number of different requests under which targets crashed before a part that they share is blamed. */
    static final int MIN_REQUESTS = 3;

    /**
     * The number of crashes, each of a target that received the part after the one before, until a part is blamed: when many
     * targets crash at once, a part that many requests share was in flight at all of them.
     */
    static final int MIN_CRASHES_IN_SEQUENCE = 3;

    private final Map<String, Long> crashedAtMillis = new HashMap<>();
    private final Map<Fingerprint, Set<String>> unexplained = new HashMap<>();
    private final Map<Fingerprint, Map<String, PromptPartUse>> usesByPart;
    private final Set<Fingerprint> blamedRequests = new HashSet<>();
    private final Set<Fingerprint> blamedParts = new HashSet<>();
    private final Set<Set<Fingerprint>> partGroups = new HashSet<>();

    private CrashBlame(
            Map<Fingerprint, Map<String, Long>> crashTimes, Map<Fingerprint, Map<String, PromptPartUse>> usesByPart) {
        this.usesByPart = usesByPart;
        crashTimes.forEach((suspect, crashes) -> {
            unexplained.put(suspect, new HashSet<>(crashes.keySet()));
            crashes.forEach((target, atMillis) -> crashedAtMillis.merge(target, atMillis, Math::min));
        });
    }

    /**
     * Decides what is to blame.
     *
     * @param crashTimes for each request and prompt part, the targets that crashed while it was in flight there, and when
     * @param usesByPart for each part, its use at each of these targets
     * @return the requests and parts to blame
     */
    static Blame of(
            Map<Fingerprint, Map<String, Long>> crashTimes, Map<Fingerprint, Map<String, PromptPartUse>> usesByPart) {
        CrashBlame blame = new CrashBlame(crashTimes, usesByPart);
        while (blame.blameNextRequest() || blame.blameNextPart()) {
            // Each step explains crashes, so that others are suspected of fewer.
        }
        return new Blame(blame.blamedRequests, blame.partGroups);
    }

    private boolean blameNextRequest() {
        Option<Fingerprint> next = next(suspect -> !isPart(suspect) && isRequestToBlame(suspect));
        next.forEach(this::blameRequest);
        return next.isDefined();
    }

    private boolean blameNextPart() {
        Option<Fingerprint> next = next(suspect -> isPart(suspect) && isPartToBlame(suspect));
        next.forEach(this::blamePart);
        return next.isDefined();
    }

    private Option<Fingerprint> next(Predicate<Fingerprint> toBlame) {
        return Option.ofOptional(unexplained.keySet().stream()
                .filter(toBlame)
                .min(Comparator.comparingInt(
                                (Fingerprint each) -> -unexplained.get(each).size())
                        .thenComparing(Fingerprint.BY_VALUE)));
    }

    private boolean isPart(Fingerprint suspect) {
        return usesByPart.containsKey(suspect);
    }

    private boolean isBlamed(Fingerprint suspect) {
        return blamedRequests.contains(suspect) || blamedParts.contains(suspect);
    }

    private boolean isRequestToBlame(Fingerprint request) {
        Set<String> crashes = unexplained.get(request);
        if (isBlamed(request) || crashes.size() < MIN_CRASHES) {
            return false;
        }
        return crashes.size() >= CERTAIN_CRASHES
                || !otherWasPresentAtAll(request, crashes) && !asManyCrashedWithout(crashes);
    }

    private boolean isPartToBlame(Fingerprint part) {
        Set<String> crashes = unexplained.get(part);
        if (isBlamed(part)
                || differentRequests(part, crashes) < MIN_REQUESTS
                || crashesInSequence(part, crashes) < MIN_CRASHES_IN_SEQUENCE) {
            return false;
        }
        return crashes.size() >= CERTAIN_CRASHES || !requestWasPresentAtAll(crashes) && !asManyCrashedWithout(crashes);
    }

    private long differentRequests(Fingerprint part, Set<String> crashes) {
        Map<String, PromptPartUse> uses = usesByPart.get(part);
        return crashes.stream()
                .map(target -> uses.get(target).request())
                .distinct()
                .count();
    }

    /** Returns the largest number of crashes of which each target received the part only after the crash before. */
    private int crashesInSequence(Fingerprint part, Set<String> crashes) {
        Map<String, PromptPartUse> uses = usesByPart.get(part);
        List<String> byTime = crashes.stream()
                .sorted(Comparator.comparing(crashedAtMillis::get))
                .toList();
        int count = 0;
        long lastMillis = Long.MIN_VALUE;
        for (String target : byTime) {
            long crashedMillis = crashedAtMillis.get(target);
            if (crashedMillis - uses.get(target).inFlightMillis() >= lastMillis) {
                count++;
                lastMillis = crashedMillis;
            }
        }
        return count;
    }

    /** Returns whether another request, or a part that another request has brought, was present at all crashes. */
    private boolean otherWasPresentAtAll(Fingerprint request, Set<String> crashes) {
        return unexplained.entrySet().stream()
                .anyMatch(each -> !each.getKey().equals(request)
                        && !isBlamed(each.getKey())
                        && each.getValue().containsAll(crashes)
                        && (!isPart(each.getKey()) || !mayHaveBrought(request, each.getKey(), crashes)));
    }

    /** Returns whether a request may be the one that brought a part to some of the crashes. */
    private boolean mayHaveBrought(Fingerprint request, Fingerprint part, Set<String> crashes) {
        Map<String, PromptPartUse> uses = usesByPart.get(part);
        return crashes.stream().anyMatch(target -> uses.get(target).request().equals(request));
    }

    private boolean requestWasPresentAtAll(Set<String> crashes) {
        return unexplained.entrySet().stream()
                .anyMatch(each -> !isPart(each.getKey())
                        && !isBlamed(each.getKey())
                        && each.getValue().containsAll(crashes));
    }

    /** Returns whether between the first and the last of the crashes as many other targets crashed, unexplained so far. */
    private boolean asManyCrashedWithout(Set<String> crashes) {
        LongSummaryStatistics times =
                crashes.stream().mapToLong(crashedAtMillis::get).summaryStatistics();
        Set<String> others = new HashSet<>();
        unexplained.forEach((suspect, targets) -> {
            if (!isBlamed(suspect)) {
                others.addAll(targets);
            }
        });
        others.removeAll(crashes);
        others.removeIf(
                target -> crashedAtMillis.get(target) < times.getMin() || crashedAtMillis.get(target) > times.getMax());
        return others.size() >= crashes.size();
    }

    /** Blames a request and all that can't be told from it, and clears the others of these crashes. */
    private void blameRequest(Fingerprint guilty) {
        Set<String> explained = Set.copyOf(unexplained.get(guilty));
        unexplained.forEach((suspect, crashes) -> {
            if (!isPart(suspect) && crashes.equals(explained)) {
                blamedRequests.add(suspect);
            }
        });
        unexplained.forEach((suspect, crashes) -> {
            if (isPart(suspect)) {
                // A part of the request may be what crashed the targets, under other requests as well.
                Map<String, PromptPartUse> uses = usesByPart.get(suspect);
                crashes.removeIf(target -> explained.contains(target)
                        && !uses.get(target).request().equals(guilty));
            } else if (!isBlamed(suspect)) {
                crashes.removeAll(explained);
            }
        });
    }

    /** Blames a part, together with all that were present at the same crashes, and clears the others of these crashes. */
    private void blamePart(Fingerprint guilty) {
        Set<String> explained = Set.copyOf(unexplained.get(guilty));
        Set<Fingerprint> group = new HashSet<>();
        unexplained.forEach((suspect, crashes) -> {
            if (isPart(suspect) && !isBlamed(suspect) && crashes.containsAll(explained)) {
                group.add(suspect);
            }
        });
        partGroups.add(Set.copyOf(group));
        blamedParts.add(guilty);
        unexplained.forEach((suspect, crashes) -> {
            if (!isBlamed(suspect)) {
                crashes.removeAll(explained);
            }
        });
    }
}
