package org.rattanplank.bench.outcome;

import java.util.List;
import java.util.Objects;

import org.rattanplank.bench.process.ClientAccount;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;

/**
 * A logical call of a caller and the results of its attempts. Immutable and thread safe.
 *
 * @param client the client that called
 * @param request the request, identical for each attempt
 * @param results the results of the attempts, oldest first
 */
public record CallRecord(ClientAccount client, CallRequest request, List<CallResult> results) {
    public CallRecord {
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(request, "request");
        results = List.copyOf(results);
    }

    /**
     * Returns whether every attempt was reported as not run or did not reach a host.
     *
     * @return whether the caller may conclude that the call was never executed
     */
    public boolean isNeverRun() {
        return results.stream()
                .map(CallResult::outcome)
                .allMatch(outcome -> outcome == CallOutcome.NOT_RUN || outcome == CallOutcome.UNREACHED);
    }
}
