package org.rattanplank.core.claim;

/** Decides when a view may be formed without a member of the previous one. */
enum TakeoverRule {
    /** Only when every previous member has definitely terminated. */
    SURVIVOR_REQUIRED {
        @Override
        boolean canTakeOver(boolean allTerminated, boolean allUnreachable) {
            return allTerminated;
        }
    },
    /** Also when every previous member is unreachable; unsafe, present only for a test that shows the violation. */
    ON_SILENCE {
        @Override
        boolean canTakeOver(boolean allTerminated, boolean allUnreachable) {
            return allTerminated || allUnreachable;
        }
    };

    abstract boolean canTakeOver(boolean allTerminated, boolean allUnreachable);
}
