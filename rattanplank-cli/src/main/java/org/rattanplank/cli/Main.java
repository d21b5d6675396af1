package org.rattanplank.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/** The operators' command-line tool. Run by one thread. */
public final class Main {
    private static final String PROGRAM = "rattanplank";

    @Parameter(names = "--json", description = "print the result as one JSON value")
    private boolean json;

    @Parameter(names = "--help", description = "show this help", help = true)
    private boolean help;

    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        Console console = new Console(System.out, System.err, System.getenv());
        System.exit(run(console, args).code());
    }

    /**
     * Runs one command.
     *
     * @param console its output streams and environment
     * @param args the command line
     * @return its exit code
     */
    public static ExitCode run(Console console, String... args) {
        Main main = new Main();
        Map<String, Command> commands = commands();
        JCommander.Builder builder =
                JCommander.newBuilder().programName(PROGRAM).addObject(main);
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            console.err().println(e.getMessage());
            console.err().println("see rattanplank --help for commands and flags");
            return ExitCode.USAGE;
        }
        Command command = commands.get(String.valueOf(commander.getParsedCommand()));
        if (main.help || command == null) {
            (main.help ? console.out() : console.err()).println(usage(commander));
            return main.help ? ExitCode.DONE : ExitCode.USAGE;
        }
        return print(console, command.run(console), main.json || command.isJsonOutput());
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("check", new CheckCommand());
        commands.put("diff", new DiffCommand());
        commands.put("apply", new ApplyCommand());
        commands.put("pull", new PullCommand());
        commands.put("status", new StatusCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("why", new WhyCommand());
        commands.put("losses", new LossesCommand());
        commands.put("drain", new DrainCommand());
        commands.put("entry-hosts", new EntryHostsCommand());
        commands.put("version", new VersionCommand());
        return commands;
    }

    private static ExitCode print(Console console, Report report, boolean asJson) {
        boolean isError = report.code() == ExitCode.USAGE || report.code() == ExitCode.UNREACHABLE;
        PrintStream stream = isError && !asJson ? console.err() : console.out();
        if (asJson) {
            stream.println(report.json());
        } else {
            report.lines().forEach(stream::println);
        }
        return report.code();
    }

    private static String usage(JCommander commander) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        return text.toString();
    }
}
