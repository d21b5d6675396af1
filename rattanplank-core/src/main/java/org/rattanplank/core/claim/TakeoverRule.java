package org.rattanplank.core.claim;

/** When a view may be formed without a member of the old one. */
enum TakeoverRule {
    /** Only when every old member has surely ended. */
    SURVIVOR_REQUIRED {
        @Override
        boolean canTakeOver(boolean allEnded, boolean allSilent) {
            return allEnded;
        }
    },
    /** Also when no old member was heard of; wrong, and there only for a test to show why. */
    ON_SILENCE {
        @Override
        boolean canTakeOver(boolean allEnded, boolean allSilent) {
            return allEnded || allSilent;
        }
    };

    abstract boolean canTakeOver(boolean allEnded, boolean allSilent);
}
