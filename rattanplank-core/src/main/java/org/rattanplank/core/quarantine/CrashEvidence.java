package org.rattanplank.core.quarantine;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * Evidence that a target crashed while a request, or a request with a prompt part, was in flight there, as hosts exchange
 * it.
 *
 * <p>Invariant: evidence that was cleared stays cleared. Immutable and thread safe.
 *
 * @param target the text of the target's incarnation
 * @param fingerprint the request or the part
 * @param partUse the part, or none if the evidence is about a request
 * @param cleared whether the request or the part is known not to be the cause
 * @param ageMillis the time since the crash
 */
public record CrashEvidence(
        String target, Fingerprint fingerprint, Option<PromptPartUse> partUse, boolean cleared, long ageMillis) {
    public CrashEvidence {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(partUse, "partUse");
        if (ageMillis < 0) {
            throw new IllegalArgumentException("the crash of " + target + " is in the future");
        }
    }

    /**
     * Creates evidence about a request.
     *
     * @param target the text of the target's incarnation
     * @param fingerprint the request
     * @param cleared whether the request is known not to be the cause
     * @param ageMillis the time since the crash
     */
    public CrashEvidence(String target, Fingerprint fingerprint, boolean cleared, long ageMillis) {
        this(target, fingerprint, Option.none(), cleared, ageMillis);
    }

    /**
     * Creates evidence about a prompt part.
     *
     * @param target the text of the target's incarnation
     * @param partUse the part, and the request that brought it there
     * @param cleared whether the part is known not to be the cause
     * @param ageMillis the time since the crash
     * @return the evidence
     */
    public static CrashEvidence ofPromptPart(String target, PromptPartUse partUse, boolean cleared, long ageMillis) {
        return new CrashEvidence(
                target, Fingerprint.ofPromptPart(partUse.id()), Option.some(partUse), cleared, ageMillis);
    }
}
