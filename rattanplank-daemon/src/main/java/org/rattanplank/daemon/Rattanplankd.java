package org.rattanplank.daemon;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Try;
import org.rattanplank.daemon.setting.SettingFault;
import org.rattanplank.daemon.setting.SettingsReader;
import org.rattanplank.daemon.setting.generated.DaemonFlags;
import org.rattanplank.daemon.setting.generated.DaemonSettings;
import org.rattanplank.gateway.Signals;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** The daemon's main program: settings, start, graceful stop, exit code. Stateless. */
public final class Rattanplankd {
    private static final int DONE = 0;
    private static final int FAILED = 1;
    private static final int BAD_SETTINGS = 2;

    private Rattanplankd() {}

    /**
     * Runs the daemon until it has stopped.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments)));
    }

    private static int run(List<String> arguments) {
        DaemonFlags flags = SettingsReader.flags(arguments);
        if (flags.isHelp()) {
            System.out.print(SettingsReader.help());
            return DONE;
        }
        Either<List<SettingFault>, DaemonSettings> settings = SettingsReader.read(arguments, System.getenv());
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> System.err.println(fault.line()));
            return BAD_SETTINGS;
        }
        if (flags.isCheck()) {
            System.out.println("the settings are sound");
            return DONE;
        }
        return run(settings.get());
    }

    private static int run(DaemonSettings settings) {
        Configuration.set("writer.level", settings.logLevel());
        return Daemon.open(settings)
                .onFailure(error -> Logger.error("daemon: a port cannot be opened: {}", error.getMessage()))
                .map(Rattanplankd::runUntilStopped)
                .getOrElse(FAILED);
    }

    private static int runUntilStopped(Daemon daemon) {
        Signals.listen("TERM", daemon::signalled);
        Signals.listen("INT", daemon::signalled);
        Try.run(daemon::awaitStop);
        int cut = daemon.unfinished();
        if (cut > 0) {
            Logger.warn("daemon: the stop cuts off {} requests", cut);
        }
        daemon.close();
        Logger.info("daemon: stopped");
        return DONE;
    }
}
