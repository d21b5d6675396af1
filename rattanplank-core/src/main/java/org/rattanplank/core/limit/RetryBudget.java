package org.rattanplank.core.limit;

/**
 * A token bucket that limits the retries of a host.
 *
 * <p>Invariant: the retries granted are at most {@link #MAX_BURST_RETRIES} plus {@link #RETRIES_PER_REQUEST} times the requests recorded.
 * Not thread safe; the owner confines it.
 */
public final class RetryBudget {
    /** Retries added to the budget by each request. */
    public static final double RETRIES_PER_REQUEST = 0.08;

    /** Capacity of the budget: the retries that a host can do at once after an idle period. */
    public static final double MAX_BURST_RETRIES = 10;

    private static final int MAX_ATTEMPTS = 3;

    private double tokens;

    private RetryBudget(double tokens) {
        this.tokens = tokens;
    }

    /**
     * Creates a full budget.
     *
     * @return the budget
     */
    public static RetryBudget full() {
        return new RetryBudget(MAX_BURST_RETRIES);
    }

    /** Records a request, which adds a fraction of a retry to the budget. */
    public void recordRequest() {
        tokens = Math.min(MAX_BURST_RETRIES, tokens + RETRIES_PER_REQUEST);
    }

    /**
     * Takes a retry from the budget if one is available.
     *
     * @param attempts how many attempts the request has had
     * @return whether the request may be retried
     */
    public boolean tryAcquire(int attempts) {
        // Prevents retry storms: if all requests fail, each failed attempt would start another one and overload the
        // remaining targets; symptom: attempts grow while answers do not. The budget bounds retries by new requests,
        // regardless of what fails.
        if (attempts >= MAX_ATTEMPTS || tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
