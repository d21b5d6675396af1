// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Asks a peer for a generation of the configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the generation that is wanted
 */
public record ConfigurationPull(long generation) implements ControlMessage {
}
