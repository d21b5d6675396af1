// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Asks the other end of a link for a sign of life.
 *
 * <p>Immutable and thread safe.
 *
 * @param number the ping's number on this link
 */
public record Ping(long number) implements MemberMessage {
}
