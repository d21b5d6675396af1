package org.rattanplank.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

import com.beust.jcommander.Parameters;

/** Shows the version. Run once by one thread. */
@Parameters(commandDescription = "show the version")
final class VersionCommand extends Command {
    @Override
    Report run(Console console) {
        try (InputStream stream = VersionCommand.class.getResourceAsStream("version.properties")) {
            Properties properties = new Properties();
            properties.load(stream);
            return Report.of(ExitCode.DONE, "rattanplank " + properties.getProperty("version"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
