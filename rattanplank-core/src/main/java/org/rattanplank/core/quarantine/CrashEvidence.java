package org.rattanplank.core.quarantine;

import java.util.Objects;

/**
 * Evidence that a target crashed while a request was in flight there, as hosts exchange it.
 *
 * <p>Invariant: evidence that was cleared stays cleared. Immutable and thread safe.
 *
 * @param target the text of the target's incarnation
 * @param fingerprint the request
 * @param cleared whether the request is known not to be the cause
 * @param ageMillis the time since the crash
 */
public record CrashEvidence(String target, Fingerprint fingerprint, boolean cleared, long ageMillis) {
    public CrashEvidence {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (ageMillis < 0) {
            throw new IllegalArgumentException("the crash of " + target + " is in the future");
        }
    }
}
