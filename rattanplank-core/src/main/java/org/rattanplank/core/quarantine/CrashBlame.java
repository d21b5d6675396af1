package org.rattanplank.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;

/**
 * Decides which requests are to blame for crashes of targets.
 *
 * <p>A crash ends all requests in flight at a target, of which one is to blame at most. A request is blamed if several
 * targets crashed under it and no other request was present at all of these crashes; the others that were present at
 * them are not suspected because of them any more.
 *
 * <p>Invariant: the result depends on the evidence only, not on the order in which it arrived. Confined to its owner's
 * thread.
 */
final class CrashBlame {
    /** Two crashes are not enough: a request whose target crashed is retried once, and that target may crash as well. */
    static final int MIN_CRASHES = 3;

    /**
     * The number of crashes for which a request is blamed even if others were present at all of them, or as many other
     * targets crashed without it. A request that is retried once by a host and once by its caller has fewer.
     */
    static final int CERTAIN_CRASHES = 5;

    private static final Comparator<Fingerprint> BY_VALUE =
            Comparator.comparingLong(Fingerprint::high).thenComparingLong(Fingerprint::low);

    private final Map<String, Long> crashedAtMillis = new HashMap<>();
    private final Map<Fingerprint, Set<String>> unexplained = new HashMap<>();
    private final Set<Fingerprint> blamed = new HashSet<>();

    private CrashBlame(Map<Fingerprint, Map<String, Long>> crashTimes) {
        crashTimes.forEach((suspect, crashes) -> {
            unexplained.put(suspect, new HashSet<>(crashes.keySet()));
            crashes.forEach((target, atMillis) -> crashedAtMillis.merge(target, atMillis, Math::min));
        });
    }

    /**
     * Decides which requests are to blame.
     *
     * @param crashTimes for each request, the targets that crashed while it was in flight there, and when
     * @return the requests to blame
     */
    static Set<Fingerprint> of(Map<Fingerprint, Map<String, Long>> crashTimes) {
        CrashBlame blame = new CrashBlame(crashTimes);
        Option<Fingerprint> next = blame.findNext();
        while (next.isDefined()) {
            blame.blame(next.get());
            next = blame.findNext();
        }
        return Set.copyOf(blame.blamed);
    }

    private Option<Fingerprint> findNext() {
        return Option.ofOptional(unexplained.keySet().stream()
                .filter(this::isToBlame)
                .min(Comparator.comparingInt(
                                (Fingerprint each) -> -unexplained.get(each).size())
                        .thenComparing(BY_VALUE)));
    }

    private boolean isToBlame(Fingerprint suspect) {
        Set<String> crashes = unexplained.get(suspect);
        if (blamed.contains(suspect) || crashes.size() < MIN_CRASHES) {
            return false;
        }
        return crashes.size() >= CERTAIN_CRASHES
                || !otherWasPresentAtAll(suspect, crashes) && !asManyCrashedWithout(crashes);
    }

    private boolean otherWasPresentAtAll(Fingerprint suspect, Set<String> crashes) {
        return unexplained.entrySet().stream()
                .anyMatch(each -> !each.getKey().equals(suspect)
                        && !blamed.contains(each.getKey())
                        && each.getValue().containsAll(crashes));
    }

    /** Returns whether between the first and the last of the crashes as many other targets crashed, unexplained so far. */
    private boolean asManyCrashedWithout(Set<String> crashes) {
        LongSummaryStatistics times =
                crashes.stream().mapToLong(crashedAtMillis::get).summaryStatistics();
        Set<String> others = new HashSet<>();
        unexplained.forEach((suspect, targets) -> {
            if (!blamed.contains(suspect)) {
                others.addAll(targets);
            }
        });
        others.removeAll(crashes);
        others.removeIf(
                target -> crashedAtMillis.get(target) < times.getMin() || crashedAtMillis.get(target) > times.getMax());
        return others.size() >= crashes.size();
    }

    /** Blames a request and all that can't be told from it, and clears the others of these crashes. */
    private void blame(Fingerprint guilty) {
        Set<String> explained = Set.copyOf(unexplained.get(guilty));
        unexplained.forEach((suspect, crashes) -> {
            if (crashes.equals(explained)) {
                blamed.add(suspect);
            }
        });
        unexplained.forEach((suspect, crashes) -> {
            if (!blamed.contains(suspect)) {
                crashes.removeAll(explained);
            }
        });
    }
}
