package org.rattanplank.bench.process;

import java.util.Objects;
import java.util.Set;

/**
 * An account of a deployment's examples. Immutable and thread safe.
 *
 * @param account the account's name
 * @param homeDataCentre its home data centre
 * @param allowedRegions the regions in which its data may be served
 */
public record Client(String account, String homeDataCentre, Set<String> allowedRegions) {
    public Client {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(homeDataCentre, "homeDataCentre");
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * The bearer token, of which the examples hold the hash.
     *
     * @return the token
     */
    public String token() {
        return account + "-token";
    }
}
