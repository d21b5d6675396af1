package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.List;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ClaimMessage;

/** Collects the actions that one event leads to. Confined to one thread. */
final class ActionList {
    private final List<ClaimStep> actions = new ArrayList<>();

    List<ClaimStep> toList() {
        return List.copyOf(actions);
    }

    void send(String host, ClaimMessage message) {
        actions.add(new ClaimStep.Send(host, message));
    }

    void callStore(long callId, StoreCommand command) {
        actions.add(new ClaimStep.CallStore(callId, command));
    }

    void decide(String requestId, ClaimKey key, ClaimDecision decision) {
        actions.add(new ClaimStep.Decide(requestId, key, decision));
    }
}
