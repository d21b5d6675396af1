package org.rattanplank.standins.target;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/**
 * One execution of a request at a target, as recorded in the ledger.
 *
 * <p>Invariant: an execution that has ended doesn't change any more. Not thread safe: confined to the targets' thread.
 */
final class Execution {
    private final String target;
    private final String region;
    private final Call call;
    private final long startedAtMillis;
    private long endedAtMillis;
    private ExecutionState state = ExecutionState.RUNNING;

    Execution(String target, String region, Call call, long startedAtMillis) {
        this.target = target;
        this.region = region;
        this.call = call;
        this.startedAtMillis = startedAtMillis;
    }

    void end(ExecutionState finalState) {
        if (state == ExecutionState.RUNNING) {
            state = finalState;
            endedAtMillis = System.currentTimeMillis();
        }
    }

    ObjectNode toJson() {
        return Json.object()
                .put("target", target)
                .put("region", region)
                .put("requestId", call.requestId())
                .put("idempotencyKey", call.idempotencyKey())
                .put("reference", call.reference())
                .put("startedAtMillis", startedAtMillis)
                .put("endedAtMillis", endedAtMillis)
                .put("state", state.label());
    }
}
