// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Responds to a ping on the same connection.
 *
 * <p>Immutable and thread safe.
 *
 * @param number the number of the ping
 */
public record Pong(long number) implements MemberMessage {
}
