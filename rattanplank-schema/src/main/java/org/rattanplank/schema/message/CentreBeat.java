// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Heartbeat between data centres, sent at a fixed interval when there is no other message to send.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the configuration generation in force at the sender
 */
public record CentreBeat(long generation) implements MemberMessage {
}
