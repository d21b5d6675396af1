package org.rattanplank.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.rattanplank.core.claim.ClaimStep;
import org.rattanplank.core.store.StoreOwner;

/**
 * Collects the actions that result from one event. Confined to one thread.
 *
 * <p>Claim decisions are deferred until no request's lock is held, because a decision may concern another request.
 */
final class Effects {
    private final List<Action> actions = new ArrayList<>();
    private final Deque<ClaimStep.Decide> decisions = new ArrayDeque<>();

    List<Action> actions() {
        return List.copyOf(actions);
    }

    Deque<ClaimStep.Decide> decisions() {
        return decisions;
    }

    void add(Action action) {
        actions.add(action);
    }

    void addClaimSteps(List<ClaimStep> steps) {
        for (ClaimStep step : steps) {
            if (step instanceof ClaimStep.Send send) {
                actions.add(new Action.SendMessage(send.host(), send.message()));
            } else if (step instanceof ClaimStep.CallStore call) {
                actions.add(new Action.CallStore(StoreOwner.CLAIM, call.callId(), call.command()));
            } else if (step instanceof ClaimStep.Decide decide) {
                decisions.add(decide);
            }
        }
    }
}
