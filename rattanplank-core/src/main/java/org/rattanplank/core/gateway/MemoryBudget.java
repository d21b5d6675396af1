package org.rattanplank.core.gateway;

import org.rattanplank.core.account.UsageRate;

/**
 * Divides memory among those who fill it by a dynamic threshold: each may hold at most as much as would then be free.
 *
 * <p>Who holds much is refused long before who holds little, so that some large bodies never keep out small ones.
 * Invariants: the sum of what is held never exceeds the total; a refusal changes nothing. Confined to its owner's
 * thread.
 */
public final class MemoryBudget {
    /** The shortest time after which refused memory is worth another try. */
    static final long MIN_WAIT_MILLIS = 400;

    /** The time constant over which the rate of releases is averaged. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 4_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final long totalBytes;
    private final UsageRate released = new UsageRate(RATE_TIME_CONSTANT_MILLIS);
    private long heldBytes;

    private MemoryBudget(long totalBytes) {
        if (totalBytes <= 0) {
            throw new IllegalArgumentException("a memory budget must be positive: " + totalBytes + " bytes");
        }
        this.totalBytes = totalBytes;
    }

    /**
     * Creates a budget of which nothing is held.
     *
     * @param totalBytes the most that may be held in all
     * @return the budget
     */
    public static MemoryBudget of(long totalBytes) {
        return new MemoryBudget(totalBytes);
    }

    /**
     * Returns what is held in all.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns the most that one holder may hold.
     *
     * @return the bytes; more would be refused even if nobody else held anything
     */
    public long maxHolderBytes() {
        return totalBytes / 2;
    }

    /**
     * Returns whether a holder would be granted more memory now.
     *
     * @param ownBytes what it holds
     * @param wantedBytes what it would hold then
     * @return whether {@link #tryGrow} would succeed
     */
    public boolean mayGrow(long ownBytes, long wantedBytes) {
        return missingBytes(ownBytes, wantedBytes) <= 0;
    }

    /**
     * Grants a holder more memory, or refuses it.
     *
     * @param ownBytes what it holds
     * @param wantedBytes what it holds if this succeeds, at least as much
     * @return whether it was granted
     */
    public boolean tryGrow(long ownBytes, long wantedBytes) {
        if (!mayGrow(ownBytes, wantedBytes)) {
            return false;
        }
        heldBytes += wantedBytes - ownBytes;
        return true;
    }

    /**
     * Takes memory back.
     *
     * @param bytes what its holder no longer holds
     * @param nowMillis the time
     */
    public void release(long bytes, long nowMillis) {
        if (bytes > heldBytes) {
            throw new IllegalArgumentException("released " + bytes + " of " + heldBytes + " bytes held");
        }
        heldBytes -= bytes;
        released.record(bytes, nowMillis);
    }

    /**
     * Estimates when refused memory will be free, by the rate at which memory was released lately.
     *
     * @param ownBytes what the refused holder holds
     * @param wantedBytes what it would hold
     * @param maxMillis the time by which memory of idle holders is taken back
     * @param nowMillis the time
     * @return the time until then, in milliseconds
     */
    public long waitMillis(long ownBytes, long wantedBytes, long maxMillis, long nowMillis) {
        long missingBytes = missingBytes(ownBytes, wantedBytes);
        if (missingBytes <= 0) {
            return MIN_WAIT_MILLIS;
        }
        double millis = missingBytes * MILLIS_PER_SECOND / released.perSecond(nowMillis);
        return Math.round(Math.max(MIN_WAIT_MILLIS, Math.min(maxMillis, millis)));
    }

    private long missingBytes(long ownBytes, long wantedBytes) {
        long freeThenBytes = totalBytes - heldBytes - (wantedBytes - ownBytes);
        return wantedBytes - freeThenBytes;
    }
}
