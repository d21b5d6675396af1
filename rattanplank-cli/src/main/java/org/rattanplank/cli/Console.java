package org.rattanplank.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;

/**
 * Where a command runs: its streams and environment. Thread safe as far as the streams are.
 *
 * @param out the stream of results
 * @param err the stream of progress and complaints
 * @param environment the environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {
    public Console {
        Objects.requireNonNull(out, "out");
        Objects.requireNonNull(err, "err");
        environment = Map.copyOf(environment);
    }

    /** Tells people how far a long command has come; scripts read the result only. */
    void progress(String line) {
        err.println(line);
        err.flush();
    }

    String setting(String flagValue, String variable) {
        return flagValue.isEmpty() ? environment.getOrDefault(variable, "") : flagValue;
    }
}
