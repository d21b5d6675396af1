package org.rattanplank.core.quarantine;

import java.util.Objects;

/**
 * A prompt part of requests that were in flight at a crashed target. Immutable and thread safe.
 *
 * @param id the identifier of the part
 * @param request the request with the part; of several, the one with the smallest fingerprint
 * @param inFlightMillis how long a request with the part had been in flight when the target crashed; of several, the longest
 */
public record PromptPartUse(String id, Fingerprint request, long inFlightMillis) {
    public PromptPartUse {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(request, "request");
        if (inFlightMillis < 0) {
            throw new IllegalArgumentException("a request with part " + id + " was in flight before it was sent");
        }
    }

    /**
     * Merges what two hosts, or two requests, tell of the same part at the same crash.
     *
     * @param other the other use of the part
     * @return the use by all requests
     */
    PromptPartUse merge(PromptPartUse other) {
        Fingerprint smaller = Fingerprint.BY_VALUE.compare(request, other.request) <= 0 ? request : other.request;
        return new PromptPartUse(id, smaller, Math.max(inFlightMillis, other.inFlightMillis));
    }
}
