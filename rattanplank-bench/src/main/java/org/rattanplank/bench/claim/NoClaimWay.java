package org.rattanplank.bench.claim;

import java.util.function.Consumer;

import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;

/** Runs every call at once. Immutable and thread safe. */
final class NoClaimWay implements ClaimWay {
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
        // Nothing is held, so nothing ends.
    }

    @Override
    public void kill(String host) {
        // Nothing is held, so nothing is lost.
    }
}
