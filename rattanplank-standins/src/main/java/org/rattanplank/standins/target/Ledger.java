package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/**
 * What truly ran at the targets of one process, oldest first.
 *
 * <p>Invariant: a run is entered before any of its work and is never taken out. Not thread safe: confined to the
 * targets' thread.
 */
final class Ledger {
    private final List<Execution> executions = new ArrayList<>();

    Execution start(String target, String region, Call call) {
        Execution run = new Execution(target, region, call, System.currentTimeMillis());
        executions.add(run);
        return run;
    }

    ObjectNode toJson() {
        ArrayNode all = Json.array();
        executions.forEach(run -> all.add(run.toJson()));
        return Json.object().set("runs", all);
    }
}
