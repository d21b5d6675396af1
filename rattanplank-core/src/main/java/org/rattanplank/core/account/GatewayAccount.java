package org.rattanplank.core.account;

import java.util.Objects;
import java.util.Set;

/**
 * A client account of a configuration. Immutable and thread safe.
 *
 * @param name its name, unique in a configuration
 * @param keys the digests of its keys; without one nobody can use it
 * @param rank its rank among the accounts, 0 first; it goes before the ranks of routes
 * @param allowance how much it may use
 * @param homeRegions the only regions that may serve it; empty if all may
 */
public record GatewayAccount(String name, Set<KeyDigest> keys, int rank, Allowance allowance, Set<String> homeRegions) {
    public GatewayAccount {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(allowance, "allowance");
        keys = Set.copyOf(keys);
        homeRegions = Set.copyOf(homeRegions);
        if (name.isEmpty()) {
            throw new IllegalArgumentException("a client account has no name");
        }
    }
}
