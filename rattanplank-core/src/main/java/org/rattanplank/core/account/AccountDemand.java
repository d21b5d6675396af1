package org.rattanplank.core.account;

import java.util.Objects;

/**
 * What is asked of a client account in one region, as it is told to other regions. Immutable and thread safe.
 *
 * @param account the name of the account
 * @param perSecond the units that are asked for per second
 */
public record AccountDemand(String account, double perSecond) {
    public AccountDemand {
        Objects.requireNonNull(account, "account");
    }
}
