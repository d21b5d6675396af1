package org.rattanplank.bench.claim;

import java.util.function.Consumer;

import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;

/** Allows every call to run immediately, without a claim. Immutable and thread safe. */
final class NoClaimStrategy implements ClaimStrategy {
    @Override
    public String label() {
        return "no-claim";
    }

    @Override
    public void open(String host, ClaimKey key, String requestId, Consumer<ClaimDecision> decided) {
        decided.accept(new ClaimDecision.Run());
    }

    @Override
    public void settle(String host, ClaimKey key, String requestId, ClaimResult result) {
        // No claim is held.
    }

    @Override
    public void kill(String host) {
        // No state is kept for a host.
    }
}
