package org.rattanplank.cli;

/** How a command ended, for scripts. */
public enum ExitCode {
    /** Done. */
    DONE(0),
    /** Refused, or not in force. */
    REFUSED(1),
    /** The command line or a setting is wrong. */
    USAGE(2),
    /** The store or the entry hosts could not be reached. */
    UNREACHABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * The number that the process ends with.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }
}
