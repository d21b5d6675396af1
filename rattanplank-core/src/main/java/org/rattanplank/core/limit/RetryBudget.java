package org.rattanplank.core.limit;

/**
 * A token budget over all retries of a host.
 *
 * <p>Invariant: the retries granted so far are at most {@link #BURST} plus {@link #PER_REQUEST} times the requests seen
 * so far. Confined to whoever owns it; it takes no lock.
 */
public final class RetryBudget {
    /** Retries that each request earns. */
    public static final double PER_REQUEST = 0.08;

    /** Retries that can be saved up; a quiet host may spend so many at once. */
    public static final double BURST = 10;

    private static final int MAX_ATTEMPTS = 3;

    private double tokens;

    private RetryBudget(double tokens) {
        this.tokens = tokens;
    }

    /**
     * Makes a budget with its burst saved up.
     *
     * @return the budget
     */
    public static RetryBudget full() {
        return new RetryBudget(BURST);
    }

    /** Takes note of a request, which earns a part of a retry. */
    public void earn() {
        tokens = Math.min(BURST, tokens + PER_REQUEST);
    }

    /**
     * Takes a retry out of the budget if there is one.
     *
     * @param attempts how many attempts the request has had
     * @return whether the request may be tried once more
     */
    public boolean spend(int attempts) {
        // Retries of retries: when a fault fails everything, each failed attempt would start another, and the targets
        // that are left would drown in them. One would notice attempts growing while answers do not. The budget ties
        // retries to new requests, whatever fails.
        if (attempts >= MAX_ATTEMPTS || tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
