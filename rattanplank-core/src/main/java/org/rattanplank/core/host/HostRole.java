package org.rattanplank.core.host;

/** What a listed host does. */
public enum HostRole {
    /** Takes requests from callers. */
    ENTRY,
    /** Runs requests for one service. */
    TARGET
}
