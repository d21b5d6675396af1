package org.rattanplank.gateway.store;

/**
 * Revisions of the store that are ordered across its restores, as numbers.
 *
 * <p>A store that comes back from an older copy gives revisions out again, and raises its era. The era is kept in the upper bits
 * of a revision, so that any revision of a later era is higher than all of the earlier ones, and a revision of a store that
 * reports no era is the store's own number. Stateless and thread safe.
 */
public final class StoreRevision {
    /** The highest era that a revision can hold. */
    public static final long MAX_ERA = (1L << 18) - 1;

    private static final int NUMBER_BITS = 45;

    /** The highest number of the store's own that a revision can hold. */
    public static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

    private StoreRevision() {}

    /**
     * Returns the revision of a number in an era.
     *
     * @param era the era, zero if the store reports none
     * @param number the store's own number of the revision; one that is not positive stands for no revision and stays as it is
     * @return the revision
     */
    public static long of(long era, long number) {
        if (era < 0 || era > MAX_ERA || number > MAX_NUMBER) {
            throw new IllegalArgumentException("era " + era + " or number " + number + " is out of range");
        }
        return number <= 0 ? number : era << NUMBER_BITS | number;
    }

    /**
     * Returns the era of a revision.
     *
     * @param revision the revision
     * @return its era, zero if the store reported none
     */
    public static long era(long revision) {
        return revision <= 0 ? 0 : revision >>> NUMBER_BITS;
    }

    /**
     * Returns the store's own number of a revision.
     *
     * @param revision the revision
     * @return its number
     */
    public static long number(long revision) {
        return revision <= 0 ? revision : revision & MAX_NUMBER;
    }

    /**
     * Returns whether two revisions are of the same era.
     *
     * @param one a revision
     * @param other another one
     * @return whether no restore lies between them
     */
    public static boolean isSameEra(long one, long other) {
        return era(one) == era(other);
    }
}
