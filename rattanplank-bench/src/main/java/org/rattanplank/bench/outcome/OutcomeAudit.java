package org.rattanplank.bench.outcome;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.rattanplank.bench.process.LedgerRun;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallResult;

/**
 * Compares what callers were told with what truly ran.
 *
 * <p>Invariant: the lists hold the callers' own names of the calls, so that each can be looked up. Immutable and thread
 * safe.
 *
 * @param outcomes how many attempts ended in which way
 * @param notRunButRan calls whose caller was told that they did not run, and which ran
 * @param ranTwice calls that may run at most once and ran more often
 * @param lost calls whose caller got no end in time
 * @param partialAsWhole calls answered with a part, or with the answer to another call
 * @param outsideResidency calls that ran in a region that their residency does not allow
 */
public record OutcomeAudit(
        Map<CallOutcome, Integer> outcomes,
        List<String> notRunButRan,
        List<String> ranTwice,
        List<String> lost,
        List<String> partialAsWhole,
        List<String> outsideResidency) {
    public OutcomeAudit {
        outcomes = Map.copyOf(outcomes);
        notRunButRan = List.copyOf(notRunButRan);
        ranTwice = List.copyOf(ranTwice);
        lost = List.copyOf(lost);
        partialAsWhole = List.copyOf(partialAsWhole);
        outsideResidency = List.copyOf(outsideResidency);
    }

    /**
     * Compares.
     *
     * @param calls what callers were told
     * @param runs what ran
     * @return the comparison
     */
    public static OutcomeAudit of(Collection<CallRecord> calls, Collection<LedgerRun> runs) {
        Map<String, List<LedgerRun>> byReference = new HashMap<>();
        Set<String> ranRequestIds = new HashSet<>();
        for (LedgerRun run : runs) {
            byReference
                    .computeIfAbsent(run.reference(), reference -> new ArrayList<>())
                    .add(run);
            ranRequestIds.add(run.toldRequestId());
        }
        ranRequestIds.remove("");
        Map<CallOutcome, Integer> outcomes = new EnumMap<>(CallOutcome.class);
        List<String> notRunButRan = new ArrayList<>();
        List<String> ranTwice = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        List<String> partialAsWhole = new ArrayList<>();
        List<String> outsideResidency = new ArrayList<>();
        for (CallRecord call : calls) {
            String reference = call.request().reference();
            List<LedgerRun> ran = byReference.getOrDefault(reference, List.of());
            for (CallResult result : call.results()) {
                outcomes.merge(result.outcome(), 1, Integer::sum);
                if (!result.outcome().isEnded()) {
                    lost.add(reference);
                }
                if (result.isWrongAnswer()) {
                    partialAsWhole.add(reference);
                }
            }
            if (isNotRunButRan(call, ran, ranRequestIds)) {
                notRunButRan.add(reference);
            }
            if (call.request().idempotencyKey().isDefined() && ran.size() > 1) {
                ranTwice.add(reference);
            }
            if (ran.stream().anyMatch(run -> !call.client().allowedRegions().contains(run.region()))) {
                outsideResidency.add(reference);
            }
        }
        return new OutcomeAudit(outcomes, notRunButRan, ranTwice, lost, partialAsWhole, outsideResidency);
    }

    /**
     * Tells whether everything that must hold held.
     *
     * @return whether all five lists are empty
     */
    public boolean isClean() {
        return notRunButRan.isEmpty()
                && ranTwice.isEmpty()
                && lost.isEmpty()
                && partialAsWhole.isEmpty()
                && outsideResidency.isEmpty();
    }

    /**
     * Puts the comparison into lines.
     *
     * @return one line for each count
     */
    public List<String> toLines() {
        List<String> lines = new ArrayList<>();
        for (CallOutcome outcome : CallOutcome.values()) {
            lines.add("attempts_" + outcome.name().toLowerCase(java.util.Locale.ROOT) + " "
                    + outcomes.getOrDefault(outcome, 0));
        }
        lines.add("not_run_but_ran " + notRunButRan.size());
        lines.add("ran_twice " + ranTwice.size());
        lines.add("lost " + lost.size());
        lines.add("partial_as_whole " + partialAsWhole.size());
        lines.add("outside_residency " + outsideResidency.size());
        return lines;
    }

    /** An answer of not run names its own request; told so each time, the caller takes the whole call for not run. */
    private static boolean isNotRunButRan(CallRecord call, List<LedgerRun> ran, Set<String> ranRequestIds) {
        if (call.isNeverRun() && !ran.isEmpty()) {
            return true;
        }
        return call.results().stream()
                .filter(result -> result.outcome() == CallOutcome.NOT_RUN)
                .anyMatch(result -> ranRequestIds.contains(result.requestId()));
    }
}
