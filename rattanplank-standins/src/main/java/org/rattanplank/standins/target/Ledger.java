package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/**
 * Records every execution at the targets of one process, oldest first.
 *
 * <p>Invariant: an execution is recorded before any of its work starts and is never removed. Not thread safe: confined
 * to the targets' thread.
 */
final class Ledger {
    private final List<Execution> executions = new ArrayList<>();

    Execution start(String target, String region, Call call) {
        Execution execution = new Execution(target, region, call, System.currentTimeMillis());
        executions.add(execution);
        return execution;
    }

    ObjectNode toJson() {
        ArrayNode all = Json.array();
        executions.forEach(execution -> all.add(execution.toJson()));
        return Json.object().set("runs", all);
    }
}
