// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Carries a generation of the configuration, whole or as a change of an earlier one.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the generation's number
 * @param digest the SHA-256 of the generation's files in lower-case hexadecimal
 * @param document the whole document, empty if the message carries a change
 * @param changeId the identity of the change that made the generation
 * @param baseGeneration the generation that the change starts from
 * @param baseDigest the digest of that generation
 * @param changed the JSON of files that were added or changed, by file name
 * @param removed the names of files that were removed
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
