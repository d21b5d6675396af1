package org.rattanplank.core.account;

import java.util.Objects;

/**
 * What is asked of a client account in one region, and what it has used there, as it is told to other regions. Immutable and
 * thread safe.
 *
 * @param account the name of the account
 * @param perSecond the units that are asked for per second
 * @param usedUnits the units that the region has used in the window
 */
public record AccountDemand(String account, double perSecond, double usedUnits) {
    public AccountDemand {
        Objects.requireNonNull(account, "account");
    }
}
