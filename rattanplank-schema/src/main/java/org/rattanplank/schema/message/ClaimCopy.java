// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * The primary's order to a member to hold a claim; the call runs only after every member holds it.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 * @param claim the claim
 */
public record ClaimCopy(long viewNumber, ClaimEntry claim) implements ClaimMessage {
}
