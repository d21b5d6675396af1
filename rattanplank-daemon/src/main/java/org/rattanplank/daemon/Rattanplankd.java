package org.rattanplank.daemon;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Try;
import org.rattanplank.daemon.setting.SettingError;
import org.rattanplank.daemon.setting.SettingsReader;
import org.rattanplank.daemon.setting.generated.DaemonFlags;
import org.rattanplank.daemon.setting.generated.DaemonSettings;
import org.rattanplank.gateway.Signals;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** Main class of the daemon: reads the settings, runs the daemon and sets the exit code. Stateless. */
public final class Rattanplankd {
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int INVALID_SETTINGS = 2;

    private Rattanplankd() {}

    /**
     * Runs the daemon until it has stopped.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments)));
    }

    private static int run(List<String> arguments) {
        DaemonFlags flags = SettingsReader.flags(arguments);
        if (flags.isHelp()) {
            System.out.print(SettingsReader.help());
            return SUCCESS;
        }
        Either<List<SettingError>, DaemonSettings> settings = SettingsReader.read(arguments, System.getenv());
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> System.err.println(fault.message()));
            return INVALID_SETTINGS;
        }
        if (flags.isCheck()) {
            System.out.println("the settings are valid");
            return SUCCESS;
        }
        return run(settings.get());
    }

    private static int run(DaemonSettings settings) {
        Configuration.set("writer.level", settings.logLevel());
        return Daemon.open(settings)
                .onFailure(error -> Logger.error("daemon: cannot open a port: {}", error.getMessage()))
                .map(Rattanplankd::runUntilStopped)
                .getOrElse(FAILURE);
    }

    private static int runUntilStopped(Daemon daemon) {
        Signals.listen("TERM", daemon::onSignal);
        Signals.listen("INT", daemon::onSignal);
        Try.run(daemon::awaitStop);
        int interruptedRequests = daemon.unfinishedRequests();
        if (interruptedRequests > 0) {
            Logger.warn("daemon: stopping with {} unfinished requests", interruptedRequests);
        }
        daemon.close();
        Logger.info("daemon: stopped");
        return SUCCESS;
    }
}
