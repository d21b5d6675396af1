package org.rattanplank.standins.target;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

/**
 * A fault to inject into the next calls. Immutable and thread safe.
 *
 * @param kind the kind of fault
 * @param remainingCalls how many further calls get it
 * @param afterEvents after how many stream events it takes effect
 * @param delayMillis the additional latency of a call
 */
record PlannedFault(FaultKind kind, int remainingCalls, long afterEvents, long delayMillis) {
    private static final PlannedFault NONE = new PlannedFault(FaultKind.NONE, 0, 0, 0);

    PlannedFault {
        Objects.requireNonNull(kind, "kind");
    }

    static PlannedFault none() {
        return NONE;
    }

    static Option<PlannedFault> of(JsonNode node) {
        return FaultKind.of(node.path("fault").asText())
                .map(kind -> new PlannedFault(
                        kind,
                        node.path("next").asInt(1),
                        node.path("afterParts").asLong(0),
                        node.path("delayMillis").asLong(0)));
    }

    PlannedFault withOneCallFewer() {
        return new PlannedFault(kind, remainingCalls - 1, afterEvents, delayMillis);
    }
}
