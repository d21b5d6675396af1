package org.rattanplank.core.host;

/** Role of a listed host. */
public enum HostRole {
    /** Accepts requests from callers. */
    ENTRY,
    /** Runs requests for one service. */
    TARGET
}
