// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Responds to a proposed view; a sender that agrees has stopped its previous view.
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
