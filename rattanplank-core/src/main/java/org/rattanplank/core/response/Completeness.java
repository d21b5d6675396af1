package org.rattanplank.core.response;

import java.util.Locale;

/** Whether a response is complete whose body has ended. Immutable and thread safe. */
public enum Completeness {
    /** The target has marked the end of the body. */
    COMPLETE,
    /** The connection ended where the body may be complete, unless the process of the target ended with it. */
    UNLESS_TERMINATED,
    /** The connection ended inside an event. */
    TRUNCATED;

    /**
     * Returns the name in metrics and log lines.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
