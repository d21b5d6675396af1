package org.rattanplank.bench.process;

import java.util.Objects;
import java.util.Set;

/**
 * A client account of a deployment's example configuration. Immutable and thread safe.
 *
 * @param account the account's name
 * @param homeDataCentre the account's home data centre
 * @param allowedRegions the regions in which its requests may be served
 */
public record ClientAccount(String account, String homeDataCentre, Set<String> allowedRegions) {
    public ClientAccount {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(homeDataCentre, "homeDataCentre");
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Returns the bearer token, whose hash is part of the example configuration.
     *
     * @return the token
     */
    public String token() {
        return account + "-token";
    }
}
