package org.rattanplank.gateway.target;

import java.util.Locale;

/** Why bytes that a target has sent are no response to the request in progress. Immutable and thread safe. */
public enum ResponseDefect {
    /** They are a response to another request of the connection. */
    LATE,
    /** The decoder can't read them. */
    MALFORMED,
    /** They are a head that contains the status line of another one. */
    JOINED,
    /** They are a head, or a late response, that stops while the connection stays open. */
    UNFINISHED,
    /** They are a late response whose rest contains the own one. */
    SWALLOWED;

    /**
     * Returns the name in metrics and log lines.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
