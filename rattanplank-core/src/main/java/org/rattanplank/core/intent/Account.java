package org.rattanplank.core.intent;

import java.util.Objects;

/**
 * A client account. Immutable and thread safe.
 *
 * @param name the account's name
 * @param tokenSha256 the SHA-256 of its bearer token in lower-case hexadecimal
 * @param homeRegion its home region
 * @param homeDataCentre the data centre that holds its claims
 * @param residency the residency label of its data, empty for none
 * @param weight its fair share relative to other accounts
 */
public record Account(
        String name, String tokenSha256, String homeRegion, String homeDataCentre, String residency, double weight) {
    public Account {
        Objects.requireNonNull(name, "name");
        tokenSha256 = Objects.requireNonNullElse(tokenSha256, "");
        Objects.requireNonNull(homeRegion, "homeRegion");
        Objects.requireNonNull(homeDataCentre, "homeDataCentre");
        residency = Objects.requireNonNullElse(residency, "");
        if (!(weight > 0)) {
            throw new IllegalArgumentException("an account's weight must be above zero: " + name);
        }
    }
}
