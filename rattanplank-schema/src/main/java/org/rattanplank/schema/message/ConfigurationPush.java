// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Carries a generation of the configuration, either complete or as a change to an earlier one.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the number of the generation
 * @param digest the SHA-256 of the generation's files in lower-case hexadecimal
 * @param document the complete document, empty if the message carries a change
 * @param changeId the identifier of the change that created the generation
 * @param baseGeneration the generation to which the change applies
 * @param baseDigest the digest of that generation
 * @param changed the JSON of added and changed files by file name
 * @param removed the names of removed files
 */
public record ConfigurationPush(long generation, String digest, String document, String changeId,
        long baseGeneration, String baseDigest, Map<String, String> changed,
        List<String> removed) implements ControlMessage {
    public ConfigurationPush {
        digest = Objects.requireNonNullElse(digest, "");
        document = Objects.requireNonNullElse(document, "");
        changeId = Objects.requireNonNullElse(changeId, "");
        baseDigest = Objects.requireNonNullElse(baseDigest, "");
        changed = changed == null ? Map.of() : Map.copyOf(changed);
        removed = removed == null ? List.of() : List.copyOf(removed);
    }
}
