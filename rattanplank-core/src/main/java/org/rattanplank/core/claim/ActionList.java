package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.List;

import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.schema.message.ClaimMessage;

/** Collects the actions that one event leads to. Confined to one thread. */
final class ActionList {
    private final List<ClaimAction> actions = new ArrayList<>();

    List<ClaimAction> toList() {
        return List.copyOf(actions);
    }

    void send(String host, ClaimMessage message) {
        actions.add(new ClaimAction.Send(host, message));
    }

    void callStore(long callId, StoreCommand command) {
        actions.add(new ClaimAction.CallStore(callId, command));
    }

    void decide(String requestId, ClaimKey key, ClaimDecision decision) {
        actions.add(new ClaimAction.Decide(requestId, key, decision));
    }
}
