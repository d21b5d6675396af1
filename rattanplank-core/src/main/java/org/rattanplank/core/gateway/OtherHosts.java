package org.rattanplank.core.gateway;

/** What the other hosts of a region do while one of them stops. Immutable and thread safe. */
public enum OtherHosts {
    /** One takes work, or will for longer than the host that stops could. */
    TAKE {
        @Override
        long acceptUntilMillis(long cutMillis) {
            return 0;
        }
    },

    /** None takes work, but there are some, and the first that is back will. */
    AWAY {
        @Override
        long acceptUntilMillis(long cutMillis) {
            return cutMillis - MIN_REMAINING_MILLIS;
        }
    },

    /** There is none: the region is served again soonest if the host that stops ends soon. */
    NONE {
        @Override
        long acceptUntilMillis(long cutMillis) {
            return StopPlan.MIN_SERVE_MILLIS;
        }
    };

    /** The last host of a region takes no more work when so little is left before it is cut: hardly anything ends. */
    static final long MIN_REMAINING_MILLIS = 1_000;

    /** A host that goes on for longer by so much is left to do so; hosts know of each other that late. */
    private static final long COMPARISON_MARGIN_MILLIS = 200;

    /**
     * Says what they do.
     *
     * @param exist whether there are others
     * @param oneTakesCallers whether one takes callers
     * @param longestWorkMillis how long one that stops as well will take work, at the longest
     * @param ownWorkMillis how long the host that asks could
     * @return what they do
     */
    public static OtherHosts of(boolean exist, boolean oneTakesCallers, long longestWorkMillis, long ownWorkMillis) {
        if (oneTakesCallers || longestWorkMillis > ownWorkMillis + COMPARISON_MARGIN_MILLIS) {
            return TAKE;
        }
        return exist ? AWAY : NONE;
    }

    /** Until when after the word to stop a host takes work in their place. */
    abstract long acceptUntilMillis(long cutMillis);
}
