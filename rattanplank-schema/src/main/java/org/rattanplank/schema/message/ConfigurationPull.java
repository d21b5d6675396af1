// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Requests a generation of the configuration from a peer.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the requested generation
 * @param have the generation in force at the sender, zero for none
 * @param haveDigest the digest of that generation
 */
public record ConfigurationPull(long generation, long have,
        String haveDigest) implements ControlMessage {
    public ConfigurationPull {
        haveDigest = Objects.requireNonNullElse(haveDigest, "");
    }
}
