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
 * <p>Regions divide an allowance by what is asked in each ({@link DemandShares}); the hosts of a region draw from one bucket,
 * of which each keeps a copy, and tell each other what they have drawn. A host that loses others without knowing that they
 * have ended leaves them their part for a while. Nothing is written to the store, and nothing is asked of another host
 * before a request is sent. Invariant: an account without a limit is never refused. Confined to its owner's thread.
 */
public final class AllowanceControl {
    static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The part of the allowed excess that is given as an additional burst; the rest is for what hosts use before they know of
     * each other's use.
     */
    private static final double BURST_EXCESS_FRACTION = 0.3;

    /** How many of its periods a host's report may be late before its part is left to it. */
    private static final double OVERDUE_PERIODS = 1.5;

    /** How long a host that fell silent keeps its part; one that has ended is usually found out sooner. */
    private static final long SILENT_HOLD_MILLIS = 10_000;

    private final int regions;
    private final AllowanceBounds bounds;
    private final DemandShares shares;
    private final Map<String, AccountBucket> buckets = new HashMap<>();
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
        this.regions = Math.max(1, regions);
        this.bounds = bounds;
        shares = new DemandShares(regions);
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
        buckets.keySet().retainAll(limited.keySet());
        limited.keySet().forEach(name -> buckets.computeIfAbsent(name, each -> new AccountBucket(nowMillis)));
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
        AccountBucket bucket = advancedBucket(account, allowance, nowMillis);
        bucket.recordDemand(units, nowMillis);
        if (!bucket.hasUnits()) {
            return Option.some(refusal(account, allowance, bucket, nowMillis));
        }
        bucket.draw(units, nowMillis);
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
        draw(account, tokens, 1, nowMillis);
    }

    /**
     * Gives back what a request was charged that has not run.
     *
     * @param account its account
     * @param tokens the tokens of its prompt and the most that it may generate, if it states them
     * @param nowMillis the time
     */
    public void refund(String account, Option<Long> tokens, long nowMillis) {
        draw(account, tokens, -1, nowMillis);
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

    private void draw(String account, Option<Long> tokens, int times, long nowMillis) {
        Allowance allowance = allowances.get(account);
        if (allowance != null) {
            advancedBucket(account, allowance, nowMillis).draw(times * allowance.charge(tokens), nowMillis);
        }
    }

    private AllowanceRefusal refusal(String account, Allowance allowance, AccountBucket bucket, long nowMillis) {
        double allowedPerSecond = regionPerSecond(account, allowance, bucket, nowMillis);
        return new AllowanceRefusal(
                allowedPerSecond,
                bucket.usedPerSecond(nowMillis),
                bucket.peerUsedPerSecond(),
                bucket.oldestReportMillis(nowMillis),
                Math.round(Math.ceil(-bucket.level() * MILLIS_PER_SECOND / allowedPerSecond)));
    }

    private AccountBucket advancedBucket(String account, Allowance allowance, long nowMillis) {
        AccountBucket bucket = buckets.get(account);
        double share = share(account, allowance, bucket, nowMillis);
        // The burst is divided evenly: it serves a region whose demand grows until its share has followed.
        double burstUnits = (allowance.burstUnits() + BURST_EXCESS_FRACTION * bounds.excessUnits(allowance)) / regions;
        bucket.advance(share * allowance.unitsPerSecond(), burstUnits, nowMillis);
        return bucket;
    }

    private double regionPerSecond(String account, Allowance allowance, AccountBucket bucket, long nowMillis) {
        return share(account, allowance, bucket, nowMillis) * allowance.unitsPerSecond();
    }

    /** Returns the part of an allowance that the connected hosts of this region may use. */
    private double share(String account, Allowance allowance, AccountBucket bucket, long nowMillis) {
        silentUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        long overdue = overdueAtMillis.values().stream()
                .filter(atMillis -> atMillis <= nowMillis)
                .count();
        double known = overdueAtMillis.size() + 1.0 + silentUntilMillis.size();
        double presentFraction = (known - silentUntilMillis.size() - overdue) / known;
        return presentFraction * shares.share(account, allowance, bucket.regionDemandPerSecond(nowMillis), nowMillis);
    }

    /**
     * Returns what this host tells the other hosts of its region.
     *
     * @param nowMillis the time
     * @return the use of the accounts that had a request recently
     */
    public List<AccountUsage> usage(long nowMillis) {
        List<AccountUsage> usage = new ArrayList<>();
        buckets.forEach((account, bucket) -> {
            if (bucket.isActive(nowMillis)) {
                usage.add(bucket.usage(account, nowMillis));
            }
        });
        return usage;
    }

    /**
     * Returns what this host tells other regions.
     *
     * @param nowMillis the time
     * @return the demand of this region for accounts of which more is asked than the least that counts
     */
    public List<AccountDemand> regionDemand(long nowMillis) {
        List<AccountDemand> demands = new ArrayList<>();
        buckets.forEach((account, bucket) -> {
            double perSecond = bucket.regionDemandPerSecond(nowMillis);
            if (perSecond > shares.minDemandPerSecond(allowances.get(account))) {
                demands.add(new AccountDemand(account, perSecond));
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
        silentUntilMillis.remove(host);
        for (AccountUsage report : reports) {
            Allowance allowance = allowances.get(report.account());
            if (allowance != null) {
                advancedBucket(report.account(), allowance, nowMillis).receive(host, report, nowMillis);
            }
        }
    }

    /**
     * Forgets another host of this region.
     *
     * @param host the host
     * @param mayBeAlive whether it only fell silent, so that it may still serve callers
     * @param nowMillis the time
     */
    public void hostLost(String host, boolean mayBeAlive, long nowMillis) {
        buckets.values().forEach(bucket -> bucket.forget(host));
        if (overdueAtMillis.remove(host) != null && mayBeAlive) {
            silentUntilMillis.put(host, nowMillis + SILENT_HOLD_MILLIS);
            double known = overdueAtMillis.size() + 1.0 + silentUntilMillis.size();
            buckets.values().forEach(bucket -> bucket.leavePart(1 / known));
        }
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
