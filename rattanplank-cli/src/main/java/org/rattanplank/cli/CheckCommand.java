package org.rattanplank.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;

/** Checks a folder of intents without applying it. Run once by one thread. */
@Parameters(commandDescription = "check a folder of intents without applying it")
final class CheckCommand extends Command {
    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @Override
    Report run(Console console) {
        return IntentFolders.check(folder)
                .fold(
                        report -> report,
                        intents -> Report.of(
                                ExitCode.DONE, folder + ": " + intents.files().size() + " files are sound"));
    }
}
