package org.rattanplank.core.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Divides admitted work between accounts by their weights under overload.
 *
 * <p>Each account's admitted and demanded work is halved every {@link #HALF_LIFE_MILLIS}. At each epoch the level is
 * the work per weight up to which accounts are served. It is computed so that the demands of all accounts, each capped
 * at its level, add up to a little less than the admitted work (water-filling). Invariant: an account is over its share
 * only if its work per weight is above the level, so accounts that request less than their share are never limited. At
 * most {@link #MAX_ACCOUNTS} accounts are tracked; the least recently seen is evicted first. Not thread safe; the owner
 * confines it.
 */
public final class FairShare {
    /** Interval at which the level is recomputed. */
    public static final long EPOCH_MILLIS = 1_000;

    /** Half-life of recorded work; long enough that single requests of a small account do not look like a burst. */
    public static final long HALF_LIFE_MILLIS = 60_000;

    /** Maximum number of tracked accounts. */
    public static final int MAX_ACCOUNTS = 8_192;

    /** Fraction of the admitted work that is divided; below one, so that an overload shrinks. */
    private static final double SHARED_FRACTION = 0.9;

    /** Lowest level, in units of the mean work per weight; above one because requests arrive unevenly. */
    private static final double MIN_LEVEL_TO_MEAN = 1.1;

    private static final double IDLE_WORK_MILLIS = 1;
    private static final int BISECTIONS = 16;

    private final Map<String, AccountUsage> usageByAccount = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, AccountUsage> eldest) {
            if (size() <= MAX_ACCOUNTS) {
                return false;
            }
            removeFromTotals(eldest.getValue());
            return true;
        }
    };
    private double totalAdmittedMillis;
    private double totalWeight;
    private double levelMillis = Double.POSITIVE_INFINITY;
    private long epochEndsMillis;

    private FairShare() {}

    /**
     * Creates the shares of a host without tracked accounts.
     *
     * @return the shares
     */
    public static FairShare empty() {
        return new FairShare();
    }

    /**
     * Returns the number of tracked accounts.
     *
     * @return the number of accounts
     */
    public int accountCount() {
        return usageByAccount.size();
    }

    /**
     * Records work that an account requests.
     *
     * @param account the account
     * @param weight its weight
     * @param workMillis the work
     * @param nowMillis the time
     */
    public void recordDemand(String account, double weight, double workMillis, long nowMillis) {
        startEpochIfDue(nowMillis);
        AccountUsage usage = usageByAccount.computeIfAbsent(account, name -> new AccountUsage());
        totalWeight += weight - usage.weight;
        usage.weight = weight;
        usage.demandedMillis += workMillis;
    }

    /**
     * Records work that was admitted.
     *
     * @param account the account
     * @param workMillis the work
     */
    public void recordAdmission(String account, double workMillis) {
        AccountUsage usage = usageByAccount.get(account);
        if (usage != null) {
            usage.admittedMillis += workMillis;
            totalAdmittedMillis += workMillis;
        }
    }

    /**
     * Returns how long an account has to wait until it is back within its share.
     *
     * @param account the account
     * @return the time in milliseconds, zero if the account is within its share
     */
    public long millisUntilWithinShare(String account) {
        AccountUsage usage = usageByAccount.get(account);
        if (usage == null) {
            return 0;
        }
        double shareMillis = Math.max(levelMillis, minLevelMillis()) * usage.weight;
        if (usage.admittedMillis <= shareMillis) {
            return 0;
        }
        double halvings = Math.log(usage.admittedMillis / shareMillis) / Math.log(2);
        return Math.max(EPOCH_MILLIS, Math.round(halvings * HALF_LIFE_MILLIS));
    }

    /**
     * Returns the level below which no account is limited, from the currently recorded work.
     *
     * <p>Without this bound, a backlog caused by other hosts would drive the level towards zero, because limiting this
     * host's accounts does not reduce it. A rise of all work within one epoch would leave the previous level too low
     * for every account. Symptom: a host that rejects all its accounts, or its only one.
     */
    private double minLevelMillis() {
        return MIN_LEVEL_TO_MEAN * totalAdmittedMillis / totalWeight;
    }

    private void startEpochIfDue(long nowMillis) {
        if (nowMillis < epochEndsMillis) {
            return;
        }
        long epochs = epochEndsMillis == 0 ? 1 : 1 + (nowMillis - epochEndsMillis) / EPOCH_MILLIS;
        epochEndsMillis = nowMillis + EPOCH_MILLIS;
        levelMillis = computeLevelMillis();
        double decayFactor = Math.pow(0.5, (double) epochs * EPOCH_MILLIS / HALF_LIFE_MILLIS);
        usageByAccount.values().forEach(usage -> usage.decay(decayFactor));
        usageByAccount.values().removeIf(AccountUsage::isIdle);
        totalAdmittedMillis = 0;
        totalWeight = 0;
        for (AccountUsage usage : usageByAccount.values()) {
            totalAdmittedMillis += usage.admittedMillis;
            totalWeight += usage.weight;
        }
    }

    private double computeLevelMillis() {
        double sharedMillis = 0;
        double high = 0;
        for (AccountUsage usage : usageByAccount.values()) {
            sharedMillis += usage.admittedMillis * SHARED_FRACTION;
            high = Math.max(high, usage.demandedMillis / usage.weight);
        }
        double low = 0;
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = (low + high) / 2;
            if (servedMillisAt(middle) > sharedMillis) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high;
    }

    private void removeFromTotals(AccountUsage usage) {
        totalAdmittedMillis -= usage.admittedMillis;
        totalWeight -= usage.weight;
    }

    private double servedMillisAt(double level) {
        double servedMillis = 0;
        for (AccountUsage usage : usageByAccount.values()) {
            servedMillis += Math.min(usage.demandedMillis, level * usage.weight);
        }
        return servedMillis;
    }

    private static final class AccountUsage {
        private double weight;
        private double demandedMillis;
        private double admittedMillis;

        private void decay(double decayFactor) {
            demandedMillis *= decayFactor;
            admittedMillis *= decayFactor;
        }

        private boolean isIdle() {
            return demandedMillis < IDLE_WORK_MILLIS && admittedMillis < IDLE_WORK_MILLIS;
        }
    }
}
