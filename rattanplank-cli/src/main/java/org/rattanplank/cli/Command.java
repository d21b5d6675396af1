package org.rattanplank.cli;

import com.beust.jcommander.Parameter;

/** One command of the tool. Written by JCommander, then run once by one thread. */
abstract class Command {
    @Parameter(names = "--json", description = "print one JSON value for scripts")
    private boolean json;

    /** Runs the command. */
    abstract Report run(Console console);

    final boolean wantsJson() {
        return json;
    }
}
