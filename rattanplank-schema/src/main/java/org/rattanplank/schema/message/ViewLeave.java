// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Requests a member to remove the sender from the view.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 */
public record ViewLeave(long viewNumber) implements ClaimMessage {
}
