package org.rattanplank.bench.outcome;

import java.util.List;
import java.util.Objects;

import org.rattanplank.bench.process.Client;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;

/**
 * What a caller wanted once, and how each of its attempts ended. Immutable and thread safe.
 *
 * @param client who called
 * @param request what was asked, the same for each attempt
 * @param results how the attempts ended, oldest first
 */
public record CallRecord(Client client, CallRequest request, List<CallResult> results) {
    public CallRecord {
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(request, "request");
        results = List.copyOf(results);
    }

    /**
     * Tells whether the caller was told each time that nothing ran.
     *
     * @return whether the caller may take the call for one that never ran
     */
    public boolean isNeverRun() {
        return results.stream()
                .map(CallResult::outcome)
                .allMatch(outcome -> outcome == CallOutcome.NOT_RUN || outcome == CallOutcome.UNREACHED);
    }
}
