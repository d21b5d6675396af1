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
            if (size() <= MAX_ACCOUNTS) {
                return false;
            }
            forget(eldest.getValue());
            return true;
        }
    };
    private double admittedMillis;
    private double weights;
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
        weights += weight - use.weight;
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
            admittedMillis += workMillis;
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
        if (use == null) {
            return 0;
        }
        double shareMillis = Math.max(levelMillis, floorMillis()) * use.weight;
        if (use.admittedMillis <= shareMillis) {
            return 0;
        }
        double halvings = Math.log(use.admittedMillis / shareMillis) / Math.log(2);
        return Math.max(EPOCH_MILLIS, Math.round(halvings * HALF_LIFE_MILLIS));
    }

    /**
     * The level below which no account is held back, by the work of this moment.
     *
     * <p>What goes wrong without it: the backlog may come from other hosts, and holding this host's accounts back does not
     * shrink it, so the level would fall to nothing; or all work rises within one epoch, and the level found before is too
     * low for everyone. One would notice a host that refuses all its accounts, or its only one.
     */
    private double floorMillis() {
        return FLOOR_OF_MEAN * admittedMillis / weights;
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
        admittedMillis = 0;
        weights = 0;
        for (Use use : uses.values()) {
            admittedMillis += use.admittedMillis;
            weights += use.weight;
        }
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
        return high;
    }

    private void forget(Use use) {
        admittedMillis -= use.admittedMillis;
        weights -= use.weight;
    }

    private double servedAt(double level) {
        double served = 0;
        for (Use use : uses.values()) {
            served += Math.min(use.demandedMillis, level * use.weight);
        }
        return served;
    }

    private static final class Use {
        private double weight;
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
