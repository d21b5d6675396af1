package org.rattanplank.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.rattanplank.core.claim.ClaimAction;
import org.rattanplank.core.store.StoreOwner;

/**
 * Collects the actions that result from one event. Confined to one thread.
 *
 * <p>Claim decisions are deferred until no request's lock is held, because a decision may concern another request.
 */
final class Effects {
    private final List<Action> actions = new ArrayList<>();
    private final Deque<ClaimAction.Decide> decisions = new ArrayDeque<>();

    List<Action> actions() {
        return List.copyOf(actions);
    }

    Deque<ClaimAction.Decide> decisions() {
        return decisions;
    }

    void add(Action action) {
        actions.add(action);
    }

    void addClaimActions(List<ClaimAction> claimActions) {
        for (ClaimAction claimAction : claimActions) {
            if (claimAction instanceof ClaimAction.Send send) {
                actions.add(new Action.SendMessage(send.host(), send.message()));
            } else if (claimAction instanceof ClaimAction.CallStore call) {
                actions.add(new Action.CallStore(StoreOwner.CLAIM, call.callId(), call.command()));
            } else if (claimAction instanceof ClaimAction.Decide decide) {
                decisions.add(decide);
            }
        }
    }
}
