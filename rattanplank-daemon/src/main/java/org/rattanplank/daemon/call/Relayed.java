package org.rattanplank.daemon.call;

/** What became of a part that an attempt brought. */
public enum Relayed {
    /** It went to whoever asked. */
    PASSED_ON,
    /** Whoever asked has it already. */
    DUPLICATE,
    /** Parts before it are missing. */
    GAP,
    /** The attempt is not the current one, or the request has its outcome. */
    STALE
}
