package org.rattanplank.core.gateway;

import java.util.Locale;

/** The result of a connection attempt that checks a target. Immutable and thread safe. */
public enum ConnectResult {
    /** The target accepted the connection. */
    CONNECTED,
    /** No process listens at the target's address, or the address is unreachable. */
    REFUSED,
    /** There was no answer in time. */
    TIMED_OUT;

    /**
     * Returns the name in log lines.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
