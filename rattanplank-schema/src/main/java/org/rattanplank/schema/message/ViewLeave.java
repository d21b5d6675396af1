// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Asks a member to take the sender out of the view.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 */
public record ViewLeave(long viewNumber) implements ClaimMessage {
}
