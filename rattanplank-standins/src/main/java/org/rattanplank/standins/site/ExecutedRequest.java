package org.rattanplank.standins.site;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * A request as a replica executes it. Immutable and thread safe.
 *
 * @param id its identifier
 * @param account the client account that the gateway named
 * @param hasKey whether a key reached the replica, which it must not
 * @param tokens the numbers of prompt tokens and of tokens to generate, separated by a comma, if they are stated
 */
public record ExecutedRequest(String id, Option<String> account, boolean hasKey, Option<String> tokens) {
    public ExecutedRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(tokens, "tokens");
    }
}
