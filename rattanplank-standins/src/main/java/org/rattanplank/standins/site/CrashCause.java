package org.rattanplank.standins.site;

/** What crashes a replica that runs a request. Immutable and thread safe. */
public enum CrashCause {
    /** The request as a whole, told by its path. */
    REQUEST,
    /** A part of its prompt, whatever else it holds. */
    PROMPT_PART
}
