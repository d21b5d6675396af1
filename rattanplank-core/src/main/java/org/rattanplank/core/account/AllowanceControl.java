package org.rattanplank.core.account;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;

/**
 * Keeps client accounts within their allowances, which count over all hosts of all regions.
 *
 * <p>Regions divide an allowance by what is asked in each ({@link DemandShares}). The hosts of a region count their use in one
 * sliding window, of which each keeps a copy, and tell each other what they have used. A host that loses others without
 * knowing that they have ended leaves them their part. Nothing is written to the store, and nothing is asked of another host
 * before a request is sent. Invariant: an account without a limit is never refused. Confined to its owner's thread.
 */
public final class AllowanceControl {
    static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The part of the allowed excess that is used while all hosts are heard from; the rest is for what hosts use before they
     * know of each other's use.
     */
    private static final double USED_EXCESS_FRACTION = 0.05;

    /** An account whose region has used this fraction of what it may is near its limit. */
    private static final double NEAR_LIMIT_FRACTION = 0.7;

    /** How many of its periods a host's report may be late before its part is left to it. */
    private static final double OVERDUE_PERIODS = 1.5;

    /**
     * How long a host that fell silent keeps its part, as it may serve on while it is cut off. One that has ended mostly starts
     * again under its name.
     */
    private static final long SILENT_HOLD_MILLIS = 3_600_000;

    private final AllowanceBounds bounds;
    private final DemandShares shares;
    private final Map<String, AccountWindow> windows = new HashMap<>();
    private final Map<String, Long> overdueAtMillis = new HashMap<>();
    private final Map<String, Long> silentUntilMillis = new HashMap<>();
    private Map<String, Allowance> allowances = Map.of();

    /**
     * Creates the control of a host that knows no account and no other host.
     *
     * @param regions the number of regions of the installation
     * @param bounds how far the use of an allowance may go beyond it
     */
    public AllowanceControl(int regions, AllowanceBounds bounds) {
        this.bounds = bounds;
        shares = new DemandShares(regions, bounds.windowMillis());
    }

    /**
     * Applies the accounts of a configuration. What a new one may use at once grows from nothing, as other hosts may have used
     * it before this one has started.
     *
     * @param accounts the accounts
     * @param nowMillis the time
     */
    public void configure(Collection<GatewayAccount> accounts, long nowMillis) {
        Map<String, Allowance> limited = new HashMap<>();
        for (GatewayAccount account : accounts) {
            if (account.allowance().isLimited()) {
                limited.put(account.name(), account.allowance());
            }
        }
        allowances = limited;
        windows.keySet().retainAll(limited.keySet());
        limited.keySet()
                .forEach(name ->
                        windows.computeIfAbsent(name, each -> new AccountWindow(bounds.windowMillis(), nowMillis)));
    }

    /**
     * Charges a request that is about to be sent to a target for the first time.
     *
     * @param account its account
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @param nowMillis the time
     * @return why it is refused, or none if it is within the allowance and was charged
     */
    public Option<AllowanceRefusal> tryCharge(String account, Option<Long> tokens, long nowMillis) {
        Allowance allowance = allowances.get(account);
        if (allowance == null) {
            return Option.none();
        }
        long units = allowance.charge(tokens);
        AccountWindow window = advancedWindow(account, nowMillis);
        window.recordDemand(units, nowMillis);
        double limitUnits = limitUnits(account, allowance, window, nowMillis);
        if (!window.allows(units, limitUnits)) {
            return Option.some(refusal(window, units, limitUnits, nowMillis));
        }
        window.use(units, nowMillis);
        return Option.none();
    }

    /**
     * Charges a request that is sent once more; it was within the allowance when it was first sent.
     *
     * @param account its account
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @param nowMillis the time
     */
    public void chargeAgain(String account, Option<Long> tokens, long nowMillis) {
        use(account, tokens, 1, nowMillis);
    }

    /**
     * Gives back what a request was charged that has not run.
     *
     * @param account its account
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @param nowMillis the time
     */
    public void refund(String account, Option<Long> tokens, long nowMillis) {
        use(account, tokens, -1, nowMillis);
    }

    /**
     * Returns the span over which use is summed.
     *
     * @return milliseconds
     */
    public long windowMillis() {
        return bounds.windowMillis();
    }

    /**
     * Returns how much a request counts.
     *
     * @param account its account
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @return units; zero if the account has no limit
     */
    public long units(String account, Option<Long> tokens) {
        return Option.of(allowances.get(account))
                .map(allowance -> allowance.charge(tokens))
                .getOrElse(0L);
    }

    private void use(String account, Option<Long> tokens, int times, long nowMillis) {
        Allowance allowance = allowances.get(account);
        if (allowance != null) {
            advancedWindow(account, nowMillis).use(times * allowance.charge(tokens), nowMillis);
        }
    }

    private static AllowanceRefusal refusal(AccountWindow window, long units, double limitUnits, long nowMillis) {
        return new AllowanceRefusal(
                limitUnits,
                window.units(),
                window.usedPerSecond(nowMillis),
                window.peerUsedPerSecond(),
                window.oldestReportMillis(nowMillis),
                window.millisUntilAllowed(units, limitUnits, nowMillis));
    }

    private AccountWindow advancedWindow(String account, long nowMillis) {
        AccountWindow window = windows.get(account);
        window.advance(nowMillis);
        return window;
    }

    /** Returns the units up to which this host admits requests. */
    private double limitUnits(String account, Allowance allowance, AccountWindow window, long nowMillis) {
        return window.seenFraction(nowMillis) * regionUnits(account, allowance, window, nowMillis);
    }

    /** Returns the units that the connected hosts of this region may use in a window. */
    private double regionUnits(String account, Allowance allowance, AccountWindow window, long nowMillis) {
        double presentFraction = presentFraction(nowMillis);
        double excessFraction = presentFraction < 1 ? 0 : USED_EXCESS_FRACTION;
        double allUnits = bounds.windowUnits(allowance) + excessFraction * bounds.excessUnits(allowance);
        return presentFraction
                * shares.units(account, allowance, allUnits, window.regionDemandPerSecond(nowMillis), nowMillis);
    }

    /** Returns the fraction of the region's known hosts that this one hears from, itself included. */
    private double presentFraction(long nowMillis) {
        long overdue = overdueAtMillis.values().stream()
                .filter(atMillis -> atMillis <= nowMillis)
                .count();
        double known = overdueAtMillis.size() + 1.0 + silentUntilMillis.size();
        return (known - silentUntilMillis.size() - overdue) / known;
    }

    /**
     * Returns what this host tells the other hosts of its region.
     *
     * @param nowMillis the time
     * @return the use of the accounts that had a request recently
     */
    public List<AccountUsage> usage(long nowMillis) {
        List<AccountUsage> usage = new ArrayList<>();
        windows.forEach((account, window) -> {
            if (window.isActive(nowMillis)) {
                usage.add(window.usage(account, nowMillis));
            }
        });
        return usage;
    }

    /**
     * Returns what this host tells other regions.
     *
     * @param nowMillis the time
     * @return the demand and use of this region for the accounts that had any of late
     */
    public List<AccountDemand> regionDemand(long nowMillis) {
        List<AccountDemand> demands = new ArrayList<>();
        double presentFraction = presentFraction(nowMillis);
        windows.forEach((account, window) -> {
            window.advance(nowMillis);
            double perSecond = window.regionDemandPerSecond(nowMillis);
            // The silent hosts of the region count as if they used as much as the others.
            double usedUnits = window.units() / presentFraction;
            if (perSecond > shares.minDemandPerSecond(allowances.get(account)) || usedUnits > 0) {
                demands.add(new AccountDemand(account, perSecond, usedUnits));
            }
        });
        return demands;
    }

    /**
     * Takes in what another host of this region has used.
     *
     * @param host the host
     * @param reports its report
     * @param periodMillis the longest time until its next report
     * @param nowMillis the time
     */
    public void usageReceived(String host, List<AccountUsage> reports, long periodMillis, long nowMillis) {
        overdueAtMillis.put(host, nowMillis + Math.round(OVERDUE_PERIODS * periodMillis));
        if (silentUntilMillis.remove(host) != null) {
            windows.values().forEach(window -> window.takeBackPart(host));
        }
        forgetSilentHosts(nowMillis);
        for (AccountUsage report : reports) {
            Allowance allowance = allowances.get(report.account());
            if (allowance != null) {
                AccountWindow window = advancedWindow(report.account(), nowMillis);
                window.receive(host, report, nowMillis);
                adoptUse(report, allowance, window, nowMillis);
            }
        }
    }

    /**
     * Counts what the region used before this host started, if the account is near its limit. Other accounts would be refused
     * for a window without need, as nothing is known of when their use leaves it.
     */
    private void adoptUse(AccountUsage report, Allowance allowance, AccountWindow window, long nowMillis) {
        if (window.seenFraction(nowMillis) < 1
                && report.regionUnits()
                        >= NEAR_LIMIT_FRACTION * regionUnits(report.account(), allowance, window, nowMillis)) {
            window.raiseTo(report.regionUnits());
        }
    }

    /**
     * Records that another host of this region is disconnected.
     *
     * @param host the host
     * @param mayBeAlive whether it only fell silent, so that it may still serve callers
     * @param nowMillis the time
     */
    public void hostLost(String host, boolean mayBeAlive, long nowMillis) {
        boolean hasReported = overdueAtMillis.remove(host) != null;
        if (!mayBeAlive || !hasReported) {
            windows.values().forEach(window -> window.forget(host));
            return;
        }
        silentUntilMillis.put(host, nowMillis + SILENT_HOLD_MILLIS);
        double known = overdueAtMillis.size() + 1.0 + silentUntilMillis.size();
        windows.values().forEach(window -> window.leavePart(host, 1 / known));
    }

    private void forgetSilentHosts(long nowMillis) {
        silentUntilMillis.entrySet().removeIf(silent -> {
            if (silent.getValue() <= nowMillis) {
                windows.values().forEach(window -> window.forget(silent.getKey()));
                return true;
            }
            return false;
        });
    }

    /**
     * Records the demands that were sent to a host of another region.
     *
     * @param region the region
     * @param host the host
     * @param demands the demands
     * @param sentAtMillis the time
     */
    public void demandSent(String region, String host, List<AccountDemand> demands, long sentAtMillis) {
        shares.sent(region, host, demands, sentAtMillis);
    }

    /**
     * Takes in the demands that a host of another region has told.
     *
     * @param region the region
     * @param host the host
     * @param demands the demands
     * @param acknowledgedMillis when the last demands were sent that the host had received
     */
    public void demandReceived(String region, String host, List<AccountDemand> demands, long acknowledgedMillis) {
        shares.received(region, host, demands, acknowledgedMillis);
    }

    /**
     * Records that a host of another region is disconnected.
     *
     * @param region the region
     * @param host the host
     * @param nowMillis the time
     */
    public void regionLinkLost(String region, String host, long nowMillis) {
        shares.disconnected(region, host, nowMillis);
    }
}
