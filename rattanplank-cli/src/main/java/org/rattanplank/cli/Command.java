package org.rattanplank.cli;

import com.beust.jcommander.Parameter;

/** A command of the command-line tool. Written by JCommander, then run once by one thread. */
abstract class Command {
    @Parameter(names = "--json", description = "print the result as one JSON value")
    private boolean json;

    /** Runs the command and returns its report. */
    abstract Report run(Console console);

    final boolean isJsonOutput() {
        return json;
    }
}
