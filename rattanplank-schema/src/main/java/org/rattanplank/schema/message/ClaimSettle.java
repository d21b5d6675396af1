// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Reports the outcome of a claimed call; valid in every view.
 *
 * <p>Immutable and thread safe.
 *
 * @param claim the claim with its outcome
 */
public record ClaimSettle(ClaimEntry claim) implements ClaimMessage {
}
