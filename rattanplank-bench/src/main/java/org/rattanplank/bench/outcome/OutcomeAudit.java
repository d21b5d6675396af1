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
 * Compares the outcomes reported to callers with the runs recorded by the targets.
 *
 * <p>Invariant: the lists contain the callers' references of the calls, so that each call can be looked up. Immutable and thread
 * safe.
 *
 * @param outcomes the number of attempts by outcome
 * @param notRunButRan calls that were reported as not run but ran
 * @param ranTwice calls that may run at most once but ran more than once
 * @param lost calls whose caller received no outcome in time
 * @param partialAsWhole calls answered with an incomplete response, or with the response to another call
 * @param outsideResidency calls that ran in a region that the residency of their client does not allow
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
     * Returns the audit of calls and runs.
     *
     * @param calls the calls with the outcomes reported to callers
     * @param runs the runs recorded by the targets
     * @return the audit
     */
    public static OutcomeAudit of(Collection<CallRecord> calls, Collection<LedgerRun> runs) {
        Map<String, List<LedgerRun>> byReference = new HashMap<>();
        Set<String> executedRequestIds = new HashSet<>();
        for (LedgerRun run : runs) {
            byReference
                    .computeIfAbsent(run.reference(), reference -> new ArrayList<>())
                    .add(run);
            executedRequestIds.add(run.callerRequestId());
        }
        executedRequestIds.remove("");
        Map<CallOutcome, Integer> outcomes = new EnumMap<>(CallOutcome.class);
        List<String> notRunButRan = new ArrayList<>();
        List<String> ranTwice = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        List<String> partialAsWhole = new ArrayList<>();
        List<String> outsideResidency = new ArrayList<>();
        for (CallRecord call : calls) {
            String reference = call.request().reference();
            List<LedgerRun> callRuns = byReference.getOrDefault(reference, List.of());
            for (CallResult result : call.results()) {
                outcomes.merge(result.outcome(), 1, Integer::sum);
                if (!result.outcome().isEnded()) {
                    lost.add(reference);
                }
                if (result.isWrongResponse()) {
                    partialAsWhole.add(reference);
                }
            }
            if (isNotRunButRan(call, callRuns, executedRequestIds)) {
                notRunButRan.add(reference);
            }
            if (call.request().idempotencyKey().isDefined() && callRuns.size() > 1) {
                ranTwice.add(reference);
            }
            if (callRuns.stream()
                    .anyMatch(run -> !call.client().allowedRegions().contains(run.region()))) {
                outsideResidency.add(reference);
            }
        }
        return new OutcomeAudit(outcomes, notRunButRan, ranTwice, lost, partialAsWhole, outsideResidency);
    }

    /**
     * Returns whether no guarantee was violated.
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
     * Formats the counts as lines.
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

    /**
     * Returns whether a call ran although an attempt, or the call as a whole, was reported as not run. A not-run response
     * refers to the request id of its attempt; if all attempts are reported as not run, the call counts as not run.
     */
    private static boolean isNotRunButRan(CallRecord call, List<LedgerRun> callRuns, Set<String> executedRequestIds) {
        if (call.isNeverRun() && !callRuns.isEmpty()) {
            return true;
        }
        return call.results().stream()
                .filter(result -> result.outcome() == CallOutcome.NOT_RUN)
                .anyMatch(result -> executedRequestIds.contains(result.requestId()));
    }
}
