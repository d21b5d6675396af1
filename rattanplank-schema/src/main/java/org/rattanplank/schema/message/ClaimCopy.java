// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Replicates a claim from the primary to a member; the call is executed only after every member has stored it.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 * @param claim the claim
 */
public record ClaimCopy(long viewNumber, ClaimEntry claim) implements ClaimMessage {
}
