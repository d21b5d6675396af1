package org.rattanplank.core;

/** How an order to a target ended. */
public enum OrderResult {
    /** The target has taken it. */
    TAKEN,
    /** The target refused it, because it has seen a higher fencing number. */
    FENCED,
    /** The target refused it for another reason. */
    REFUSED,
    /** No answer came; it may have been taken. */
    UNSURE
}
