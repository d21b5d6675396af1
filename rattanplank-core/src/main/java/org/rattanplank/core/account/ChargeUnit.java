package org.rattanplank.core.account;

import io.vavr.control.Option;

/** What an allowance counts. Immutable and thread safe. */
public enum ChargeUnit {
    /** Each request counts one. */
    REQUESTS {
        @Override
        long charge(Option<Long> tokens, long plainTokens) {
            return 1;
        }
    },
    /** A request counts the tokens of its prompt and the most that it may generate. */
    TOKENS {
        @Override
        long charge(Option<Long> tokens, long plainTokens) {
            return tokens.getOrElse(plainTokens);
        }
    };

    /**
     * Returns how much a request counts.
     *
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @param plainTokens the tokens that a request counts which states none
     */
    abstract long charge(Option<Long> tokens, long plainTokens);
}
