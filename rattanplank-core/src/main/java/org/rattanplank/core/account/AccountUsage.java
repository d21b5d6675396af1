package org.rattanplank.core.account;

import java.util.Objects;

/**
 * What one host has used of a client account's allowance, as it tells the other hosts of its region. Immutable and thread
 * safe.
 *
 * @param account the name of the account
 * @param usedUnits the units that its requests have used since the host started
 * @param usedPerSecond the present rate of these
 * @param demandPerSecond the present rate of what is asked of it, whether it is served or not
 * @param regionUnits the units that all hosts of the region have used in the window, as far as the host knows
 */
public record AccountUsage(
        String account, long usedUnits, double usedPerSecond, double demandPerSecond, double regionUnits) {
    public AccountUsage {
        Objects.requireNonNull(account, "account");
    }
}
