// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * The answer to a proposed view; whoever agrees has stopped its old view.
 *
 * <p>Immutable and thread safe.
 *
 * @param changeId the proposed view's change
 * @param agreed whether the sender agrees
 */
public record ViewConsent(String changeId, boolean agreed) implements ClaimMessage {
    public ViewConsent {
        changeId = Objects.requireNonNullElse(changeId, "");
    }
}
