// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Acknowledges that a member has installed a view.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 */
public record ViewInstalled(long viewNumber) implements ClaimMessage {
}
