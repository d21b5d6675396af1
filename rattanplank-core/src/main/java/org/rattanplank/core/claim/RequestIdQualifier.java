package org.rattanplank.core.claim;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.NodeIdentity;

/**
 * Qualifies request identifiers so that no two hosts open a claim under one identifier. Immutable and thread safe.
 *
 * <p>A request that one host of the data centre rejected may arrive at another host of it. Under the same identifier,
 * the second open would be taken for the first, which is settled: its primary would return the previous result, and the
 * host would send its request again, without end. Symptom: two hosts that send each other claims as fast as they can.
 *
 * @param suffix the suffix that this process appends to the identifier of a request
 */
record RequestIdQualifier(String suffix) {
    RequestIdQualifier {
        Objects.requireNonNull(suffix, "suffix");
    }

    static RequestIdQualifier of(NodeIdentity self) {
        return new RequestIdQualifier("@" + self.host() + "/" + self.incarnation());
    }

    String qualify(String requestId) {
        return requestId + suffix;
    }

    List<ClaimAction> unqualifyAll(List<ClaimAction> actions) {
        return actions.stream().map(this::unqualify).toList();
    }

    private ClaimAction unqualify(ClaimAction action) {
        if (action instanceof ClaimAction.Decide decide && decide.requestId().endsWith(suffix)) {
            String requestId =
                    decide.requestId().substring(0, decide.requestId().length() - suffix.length());
            return new ClaimAction.Decide(requestId, decide.key(), decide.decision());
        }
        return action;
    }
}
