package org.rattanplank.core.claim;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.NodeIdentity;

/**
 * Names requests so that no two hosts open a claim under one name. Immutable and thread safe.
 *
 * <p>A request that one host of the data centre refused may come to another host of it. Under the same name, the second
 * opening would be taken for the first, which is settled: its primary would answer with the old end, and the host would
 * ask again, without end. One would notice two hosts that send each other claims as fast as they can.
 *
 * @param suffix what this process adds to the identifier of a request
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

    List<ClaimStep> unqualifyAll(List<ClaimStep> steps) {
        return steps.stream().map(this::unqualify).toList();
    }

    private ClaimStep unqualify(ClaimStep step) {
        if (step instanceof ClaimStep.Decide decide && decide.requestId().endsWith(suffix)) {
            String requestId =
                    decide.requestId().substring(0, decide.requestId().length() - suffix.length());
            return new ClaimStep.Decide(requestId, decide.key(), decide.decision());
        }
        return step;
    }
}
