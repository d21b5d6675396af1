// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * How a claimed call ended; true in every view.
 *
 * <p>Immutable and thread safe.
 *
 * @param claim the claim with its end
 */
public record ClaimSettle(ClaimEntry claim) implements ClaimMessage {
}
