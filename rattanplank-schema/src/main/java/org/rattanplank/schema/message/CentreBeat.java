// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Sent at a fixed interval from one data centre to another when there is nothing else to say.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the configuration generation in force at the sender
 */
public record CentreBeat(long generation) implements MemberMessage {
}
