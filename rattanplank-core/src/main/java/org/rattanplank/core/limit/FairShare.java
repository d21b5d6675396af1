package org.rattanplank.core.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Shares work between accounts by their weights while there is too much of it.
 *
 * <p>Each account's admitted and demanded work decays by half every {@link #HALF_LIFE_MILLIS}. At each epoch the level is
 * the work per weight up to which accounts are served, found so that all accounts' demands, each cut off at its level,
 * add up to a little less than the work that was admitted. Invariant: an account is over its share only if its work per
 * weight is above the level, so accounts that ask for less than their share are never held back. At most {@link
 * #MAX_ACCOUNTS} accounts are held; the least recently seen goes first. Confined to whoever owns it; it takes no lock.
 */
public final class FairShare {
    /** How often the level is found anew. */
    public static final long EPOCH_MILLIS = 1_000;

    /** How fast past work is forgotten; long enough that a small account's single requests do not look like a burst. */
    public static final long HALF_LIFE_MILLIS = 60_000;

    /** How many accounts are held at most. */
    public static final int MAX_ACCOUNTS = 8_192;

    /** The part of the admitted work that is shared out anew; below one, so that an overload shrinks. */
    private static final double SHARED_PART = 0.9;

    /** The lowest level, in units of the mean work per weight; above one, since work comes in lumps. */
    private static final double FLOOR_OF_MEAN = 1.1;

    private static final double IDLE_WORK_MILLIS = 1;
    private static final int BISECTIONS = 16;

    private final Map<String, Use> uses = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Use> eldest) {
            return size() > MAX_ACCOUNTS;
        }
    };
    private double levelMillis = Double.POSITIVE_INFINITY;
    private long epochEndsMillis;

    private FairShare() {}

    /**
     * Makes the shares of a host that has seen no account.
     *
     * @return the shares
     */
    public static FairShare empty() {
        return new FairShare();
    }

    /**
     * Tells how many accounts are held.
     *
     * @return the number of accounts
     */
    public int accounts() {
        return uses.size();
    }

    /**
     * Takes note of work that an account asks for.
     *
     * @param account the account
     * @param weight its weight
     * @param workMillis the work
     * @param nowMillis the time
     */
    public void demanded(String account, double weight, double workMillis, long nowMillis) {
        roll(nowMillis);
        Use use = uses.computeIfAbsent(account, name -> new Use());
        use.weight = weight;
        use.demandedMillis += workMillis;
    }

    /**
     * Takes note of work that was admitted.
     *
     * @param account the account
     * @param workMillis the work
     */
    public void admitted(String account, double workMillis) {
        Use use = uses.get(account);
        if (use != null) {
            use.admittedMillis += workMillis;
        }
    }

    /**
     * Tells how long an account has to wait until it is back at its share.
     *
     * @param account the account
     * @return zero if it is within its share
     */
    public long overMillis(String account) {
        Use use = uses.get(account);
        if (use == null || use.admittedMillis <= levelMillis * use.weight) {
            return 0;
        }
        double halvings = Math.log(use.admittedMillis / (levelMillis * use.weight)) / Math.log(2);
        return Math.max(EPOCH_MILLIS, Math.round(halvings * HALF_LIFE_MILLIS));
    }

    private void roll(long nowMillis) {
        if (nowMillis < epochEndsMillis) {
            return;
        }
        long epochs = epochEndsMillis == 0 ? 1 : 1 + (nowMillis - epochEndsMillis) / EPOCH_MILLIS;
        epochEndsMillis = nowMillis + EPOCH_MILLIS;
        levelMillis = level();
        double kept = Math.pow(0.5, (double) epochs * EPOCH_MILLIS / HALF_LIFE_MILLIS);
        uses.values().forEach(use -> use.decay(kept));
        uses.values().removeIf(Use::isIdle);
    }

    private double level() {
        double shared = 0;
        double high = 0;
        for (Use use : uses.values()) {
            shared += use.admittedMillis * SHARED_PART;
            high = Math.max(high, use.demandedMillis / use.weight);
        }
        double low = 0;
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = (low + high) / 2;
            if (servedAt(middle) > shared) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return Math.max(high, floor());
    }

    /**
     * The level below which no account is held back.
     *
     * <p>What goes wrong without it: the backlog may come from other hosts, and holding this host's accounts back does not
     * shrink it, so the level would fall to nothing. One would notice a host that refuses all its accounts.
     */
    private double floor() {
        double admitted = 0;
        double weights = 0;
        for (Use use : uses.values()) {
            admitted += use.admittedMillis;
            weights += use.weight;
        }
        return weights == 0 ? Double.POSITIVE_INFINITY : FLOOR_OF_MEAN * admitted / weights;
    }

    private double servedAt(double level) {
        double served = 0;
        for (Use use : uses.values()) {
            served += Math.min(use.demandedMillis, level * use.weight);
        }
        return served;
    }

    private static final class Use {
        private double weight = 1;
        private double demandedMillis;
        private double admittedMillis;

        private void decay(double kept) {
            demandedMillis *= kept;
            admittedMillis *= kept;
        }

        private boolean isIdle() {
            return demandedMillis < IDLE_WORK_MILLIS && admittedMillis < IDLE_WORK_MILLIS;
        }
    }
}
