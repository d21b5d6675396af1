package org.rattanplank.daemon.setting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.rattanplank.daemon.setting.generated.DaemonFlags;
import org.rattanplank.daemon.setting.generated.DaemonSettings;
import org.rattanplank.daemon.setting.generated.DaemonTable;

/**
 * Reads the settings from flags and environment variables, and finds every fault in one go. Confined to one thread.
 *
 * <p>Invariant: settings come out only if there is no fault at all.
 */
public final class SettingsReader {
    /** The variables of the operators' tool, which may be set in the same shell. */
    private static final Set<String> VARIABLES_OF_TOOL = Set.of("RATTANPLANK_OPERATORS", "RATTANPLANK_STORE");

    private final List<SettingFault> faults = new ArrayList<>();
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> namesAsGiven = new HashMap<>();

    private SettingsReader() {}

    /**
     * Reads the flags, which tell whether help or a check is wanted.
     *
     * @param arguments the command line
     * @return the flags, or the faults that keep them from being read
     */
    public static Either<List<SettingFault>, DaemonFlags> flags(List<String> arguments) {
        DaemonFlags flags = new DaemonFlags();
        JCommander commander = JCommander.newBuilder()
                .addObject(flags)
                .acceptUnknownOptions(true)
                .allowParameterOverwriting(false)
                .build();
        try {
            commander.parse(arguments.toArray(new String[0]));
        } catch (ParameterException e) {
            return Either.left(List.of(new SettingFault("command line", "", "flags with one value each; " + text(e))));
        }
        List<SettingFault> unknown = new ArrayList<>();
        boolean valueOfUnknown = false;
        for (String argument : commander.getUnknownOptions()) {
            if (argument.startsWith("--") || !valueOfUnknown) {
                unknown.add(new SettingFault(argument, "", "a flag that --help lists"));
            }
            valueOfUnknown = argument.startsWith("--") && !argument.contains("=");
        }
        return unknown.isEmpty() ? Either.right(flags) : Either.left(unknown);
    }

    /**
     * Reads all settings.
     *
     * @param arguments the command line
     * @param environment the environment variables
     * @return the settings, or every fault
     */
    public static Either<List<SettingFault>, DaemonSettings> read(
            List<String> arguments, Map<String, String> environment) {
        SettingsReader reader = new SettingsReader();
        Either<List<SettingFault>, DaemonFlags> flags = flags(arguments);
        flags.peekLeft(reader.faults::addAll);
        // Flags that JCommander refused as a whole are not read at all: a check of the rest would name settings as
        // missing that were given.
        reader.take(flags.map(DaemonFlags::given).getOrElse(Map::of), environment, flags.isLeft());
        return reader.faults.isEmpty()
                ? Either.right(DaemonSettings.of(new SettingValues(reader.values)))
                : Either.left(List.copyOf(reader.faults));
    }

    /**
     * Lists all settings for {@code --help}.
     *
     * @return one line for each
     */
    public static String help() {
        StringBuilder help = new StringBuilder("usage: rattanplankd [--check] --SETTING VALUE ...\n\n");
        for (Setting setting : DaemonTable.SETTINGS) {
            help.append("  %-30s %s%n".formatted(setting.flag(), setting.text()));
            help.append("  %-30s %s, %s%s%n"
                    .formatted(
                            "",
                            setting.environment(),
                            setting.required() ? "required" : "default \"" + setting.defaultValue() + "\"",
                            setting.unit().isEmpty() ? "" : ", in " + setting.unit()));
        }
        return help.append("  %-30s checks the settings and exits%n".formatted("--check"))
                .append("  %-30s prints this list%n".formatted("--help"))
                .toString();
    }

    private void take(Map<String, String> flags, Map<String, String> environment, boolean unread) {
        Set<String> variables = new HashSet<>(VARIABLES_OF_TOOL);
        for (Setting setting : DaemonTable.SETTINGS) {
            variables.add(setting.environment());
            if (flags.containsKey(setting.name())) {
                check(setting, setting.flag(), flags.get(setting.name()));
            } else if (environment.containsKey(setting.environment())) {
                check(setting, setting.environment(), environment.get(setting.environment()));
            } else if (setting.required() && !unread) {
                faults.add(new SettingFault(setting.flag(), "", "a value, which is required"));
            } else {
                values.put(setting.name(), setting.defaultValue());
            }
        }
        environment.keySet().stream()
                .sorted()
                .filter(Setting::isEnvironment)
                .filter(variable -> !variables.contains(variable))
                .forEach(variable -> faults.add(
                        new SettingFault(variable, environment.get(variable), "a variable that --help lists")));
        checkTogether();
    }

    private void check(Setting setting, String nameAsGiven, String value) {
        setting.brokenBound(value)
                .peek(bound -> faults.add(new SettingFault(nameAsGiven, value, bound)))
                .onEmpty(() -> {
                    values.put(setting.name(), value);
                    namesAsGiven.put(setting.name(), nameAsGiven);
                });
    }

    private void checkTogether() {
        notAbove("default-timeout-millis", "max-timeout-millis");
        notAbove("redial-min-millis", "redial-max-millis");
        notAbove("ping-interval-millis", "ping-timeout-millis");
        notAbove("part-overdue-millis", "model-overdue-millis");
        notAbove("max-frame-bytes", "send-queue-bytes");
        below("max-body-bytes", "max-frame-bytes");
        boolean otlp = "otlp".equals(values.get("trace-exporter"));
        String url = values.getOrDefault("trace-url", "");
        if (otlp && url.isEmpty()) {
            faults.add(new SettingFault(given("trace-url"), "", "an address, since trace-exporter is otlp"));
        }
        if (!otlp && !url.isEmpty() && values.containsKey("trace-exporter")) {
            faults.add(new SettingFault(given("trace-url"), url, "nothing, since trace-exporter is not otlp"));
        }
        samePort("callers", "peers");
        samePort("callers", "operators");
        samePort("peers", "operators");
    }

    private void notAbove(String lower, String upper) {
        if (bothThere(lower, upper) && number(lower) > number(upper)) {
            faults.add(new SettingFault(
                    given(lower), values.get(lower), "at most " + upper + ", which is " + values.get(upper)));
        }
    }

    private void below(String lower, String upper) {
        if (bothThere(lower, upper) && number(lower) >= number(upper)) {
            faults.add(new SettingFault(
                    given(lower), values.get(lower), "less than " + upper + ", which is " + values.get(upper)));
        }
    }

    private void samePort(String left, String right) {
        String leftPort = left + "-port";
        String rightPort = right + "-port";
        boolean clash = bothThere(leftPort, rightPort)
                && number(leftPort) != 0
                && number(leftPort) == number(rightPort)
                && values.getOrDefault(left + "-address", "").equals(values.get(right + "-address"));
        if (clash) {
            faults.add(new SettingFault(given(rightPort), values.get(rightPort), "a port other than " + leftPort));
        }
    }

    private boolean bothThere(String left, String right) {
        return values.containsKey(left) && values.containsKey(right);
    }

    private long number(String name) {
        return Long.parseLong(values.get(name));
    }

    private String given(String name) {
        return namesAsGiven.getOrDefault(name, "--" + name);
    }

    private static String text(ParameterException e) {
        return String.valueOf(e.getMessage()).replace('\n', ' ');
    }
}
