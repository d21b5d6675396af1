package org.rattanplank.core.gateway;

import java.util.function.LongSupplier;

/**
 * What one holder holds of a {@link MemoryBudget}.
 *
 * <p>Confined to the thread of the budget.
 */
public final class MemoryHolder {
    private final MemoryBudget budget;
    private final LongSupplier nowMillis;
    private long heldBytes;

    private MemoryHolder(MemoryBudget budget, LongSupplier nowMillis) {
        this.budget = budget;
        this.nowMillis = nowMillis;
    }

    /**
     * Creates a holder that holds nothing.
     *
     * @param budget the budget
     * @param nowMillis the clock
     * @return the holder
     */
    public static MemoryHolder of(MemoryBudget budget, LongSupplier nowMillis) {
        return new MemoryHolder(budget, nowMillis);
    }

    /**
     * Changes how much it holds; holding less always succeeds.
     *
     * @param bytes what it would hold
     * @return whether it holds that; otherwise it holds what it held
     */
    public boolean tryHold(long bytes) {
        if (bytes > heldBytes) {
            if (!budget.tryGrow(heldBytes, bytes)) {
                return false;
            }
        } else if (bytes < heldBytes) {
            budget.release(heldBytes - bytes, nowMillis.getAsLong());
        }
        heldBytes = bytes;
        return true;
    }

    /** Gives back all that it holds. */
    public void release() {
        tryHold(0);
    }
}
