package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.List;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ClaimMessage;

/** Collects what one event leads to. Confined to one thread. */
final class StepList {
    private final List<ClaimStep> steps = new ArrayList<>();

    List<ClaimStep> toList() {
        return List.copyOf(steps);
    }

    void send(String host, ClaimMessage message) {
        steps.add(new ClaimStep.Send(host, message));
    }

    void callStore(long callId, StoreCommand command) {
        steps.add(new ClaimStep.CallStore(callId, command));
    }

    void decide(String requestId, ClaimKey key, ClaimDecision decision) {
        steps.add(new ClaimStep.Decide(requestId, key, decision));
    }
}
