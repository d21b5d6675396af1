// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Sent at a fixed interval on each link inside a data centre.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation the sender's incarnation
 * @param generation the configuration generation in force at the sender
 * @param draining whether the sender takes no new work
 * @param load requests in flight at the sender
 */
public record Heartbeat(long incarnation, long generation, boolean draining,
        long load) implements MemberMessage {
}
