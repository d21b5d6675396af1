package org.rattanplank.cli;

/** Exit code of a command. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The request was rejected, or the generation is not in force at every entry host. */
    REFUSED(1),
    /** The command line or an environment variable is invalid. */
    USAGE(2),
    /** The store or the entry hosts could not be reached. */
    UNREACHABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the numeric exit code of the process.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }
}
