package org.rattanplank.core;

/** The result of an order to a target. */
public enum OrderResult {
    /** The target accepted the order. */
    TAKEN,
    /** The target rejected the order because it has seen a higher fencing number. */
    FENCED,
    /** The target rejected the order for another reason. */
    REFUSED,
    /** No answer arrived; the order may have been accepted. */
    UNSURE
}
