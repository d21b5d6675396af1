package org.rattanplank.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;

/**
 * Output streams and environment of a command. Thread safe if the streams are.
 *
 * @param out the stream for results
 * @param err the stream for progress and errors
 * @param environment the environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {
    public Console {
        Objects.requireNonNull(out, "out");
        Objects.requireNonNull(err, "err");
        environment = Map.copyOf(environment);
    }

    /** Prints a progress line of a long command to the error stream, so that the output stream holds the result only. */
    void progress(String line) {
        err.println(line);
        err.flush();
    }

    String setting(String flagValue, String variable) {
        return flagValue.isEmpty() ? environment.getOrDefault(variable, "") : flagValue;
    }
}
