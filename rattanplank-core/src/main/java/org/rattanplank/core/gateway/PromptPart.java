package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * A run of prompt tokens that other requests may share. Immutable and thread safe.
 *
 * @param id its identifier
 * @param tokens its tokens
 */
public record PromptPart(String id, int tokens) {
    public PromptPart {
        Objects.requireNonNull(id, "id");
    }
}
