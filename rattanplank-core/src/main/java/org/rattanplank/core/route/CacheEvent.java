package org.rattanplank.core.route;

import java.util.List;
import java.util.Objects;

/**
 * A change of a target's prefix cache. Events arrive late, and some are missing. Immutable and thread safe.
 *
 * @param target the target's name
 * @param sequence the event's number, counted without gaps by the target
 * @param stored hashes of prefixes that are now cached
 * @param removed hashes of prefixes that are no longer cached
 */
public record CacheEvent(String target, long sequence, List<Long> stored, List<Long> removed) {
    public CacheEvent {
        Objects.requireNonNull(target, "target");
        stored = List.copyOf(stored);
        removed = List.copyOf(removed);
    }
}
