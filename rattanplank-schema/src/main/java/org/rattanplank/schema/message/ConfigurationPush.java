// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Carries one whole generation of the configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the generation's number
 * @param digest the SHA-256 of the document in lower-case hexadecimal
 * @param document the merged intents as one JSON document
 */
public record ConfigurationPush(long generation, String digest,
        String document) implements ControlMessage {
    public ConfigurationPush {
        digest = Objects.requireNonNullElse(digest, "");
        document = Objects.requireNonNullElse(document, "");
    }
}
