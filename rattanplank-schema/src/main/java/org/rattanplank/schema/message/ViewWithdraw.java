// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Notifies the hosts that agreed to a proposed view that it will never be formed.
 *
 * <p>Immutable and thread safe.
 *
 * @param changeId the proposed view's change
 */
public record ViewWithdraw(String changeId) implements ClaimMessage {
    public ViewWithdraw {
        changeId = Objects.requireNonNullElse(changeId, "");
    }
}
