// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * A member's word that it acts in a view.
 *
 * <p>Immutable and thread safe.
 *
 * @param viewNumber the sender's view
 */
public record ViewInstalled(long viewNumber) implements ClaimMessage {
}
