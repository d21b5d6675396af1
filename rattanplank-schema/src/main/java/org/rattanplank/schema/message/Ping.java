// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Checks whether the other end of a link responds.
 *
 * <p>Immutable and thread safe.
 *
 * @param number the number of the ping on this link
 */
public record Ping(long number) implements MemberMessage {
}
