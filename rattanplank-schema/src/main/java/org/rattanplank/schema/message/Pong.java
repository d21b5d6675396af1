// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Answers a ping on the same connection.
 *
 * <p>Immutable and thread safe.
 *
 * @param number the number of the ping that is answered
 */
public record Pong(long number) implements MemberMessage {
}
