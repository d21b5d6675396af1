package org.rattanplank.daemon.setting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.beust.jcommander.JCommander;
import io.vavr.control.Either;
import org.rattanplank.daemon.setting.generated.DaemonFlags;
import org.rattanplank.daemon.setting.generated.DaemonSettings;
import org.rattanplank.daemon.setting.generated.DaemonTable;

/**
 * Reads the settings from flags and environment variables, and collects all errors in one pass. Confined to one thread.
 *
 * <p>Invariant: settings are returned only if there is no error at all.
 */
public final class SettingsReader {
    /** The environment variables of the command-line tool, which may be set in the same shell. */
    private static final Set<String> CLI_VARIABLES = Set.of("RATTANPLANK_OPERATORS", "RATTANPLANK_STORE");

    private static final long FRAME_OVERHEAD_BYTES = 65_536;

    private static final Set<String> COMMANDS = Set.of("--help", "--check");

    private static final String FLAG_PREFIX = "--";

    private final List<SettingError> errors = new ArrayList<>();
    private final Set<String> seenFlags = new HashSet<>();
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> sourceNames = new HashMap<>();

    private SettingsReader() {}

    /**
     * Parses the flags, which include those for help and for a check only.
     *
     * @param arguments the command line
     * @return the flags; invalid arguments are skipped
     */
    public static DaemonFlags flags(List<String> arguments) {
        return new SettingsReader().parse(arguments);
    }

    /**
     * Reads all settings.
     *
     * @param arguments the command line
     * @param environment the environment variables
     * @return the settings, or all errors
     */
    public static Either<List<SettingError>, DaemonSettings> read(
            List<String> arguments, Map<String, String> environment) {
        SettingsReader reader = new SettingsReader();
        reader.resolve(reader.parse(arguments).given(), environment);
        return reader.errors.isEmpty()
                ? Either.right(DaemonSettings.of(new SettingValues(reader.values)))
                : Either.left(List.copyOf(reader.errors));
    }

    /**
     * Returns the text of {@code --help}, which lists all settings.
     *
     * @return the usage with two lines for each setting
     */
    public static String help() {
        StringBuilder help = new StringBuilder("usage: rattanplankd [--check] --SETTING VALUE ...\n\n");
        for (Setting setting : DaemonTable.SETTINGS) {
            help.append("  %-30s %s%n".formatted(setting.flag(), setting.description()));
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

    /**
     * JCommander stops at the first error. Errors are therefore collected beforehand, and it is passed only valid
     * arguments.
     */
    private DaemonFlags parse(List<String> arguments) {
        Map<String, Setting> byFlag = new HashMap<>();
        DaemonTable.SETTINGS.forEach(setting -> byFlag.put(setting.flag(), setting));
        List<String> valid = new ArrayList<>();
        for (int i = 0; i < arguments.size(); i++) {
            String argument = arguments.get(i);
            boolean hasValue = i + 1 < arguments.size() && !arguments.get(i + 1).startsWith(FLAG_PREFIX);
            if (COMMANDS.contains(argument)) {
                valid.add(argument);
                continue;
            }
            if (!byFlag.containsKey(argument)) {
                errors.add(new SettingError(argument, "", "a flag that --help lists"));
            } else if (!hasValue) {
                errors.add(new SettingError(argument, "", "a value"));
            } else if (valid.contains(argument)) {
                errors.add(new SettingError(argument, arguments.get(i + 1), "only one value"));
            } else {
                valid.addAll(List.of(argument, arguments.get(i + 1)));
            }
            seenFlags.add(argument);
            i += hasValue && argument.startsWith(FLAG_PREFIX) ? 1 : 0;
        }
        DaemonFlags flags = new DaemonFlags();
        JCommander.newBuilder().addObject(flags).build().parse(valid.toArray(new String[0]));
        return flags;
    }

    private void resolve(Map<String, String> flags, Map<String, String> environment) {
        Set<String> knownVariables = new HashSet<>(CLI_VARIABLES);
        for (Setting setting : DaemonTable.SETTINGS) {
            knownVariables.add(setting.environment());
            if (flags.containsKey(setting.name())) {
                check(setting, setting.flag(), flags.get(setting.name()));
            } else if (environment.containsKey(setting.environment())) {
                check(setting, setting.environment(), environment.get(setting.environment()));
            } else if (setting.required() && !seenFlags.contains(setting.flag())) {
                errors.add(new SettingError(setting.flag(), "", "a value, which is required"));
            } else {
                values.put(setting.name(), setting.defaultValue());
            }
        }
        environment.keySet().stream()
                .sorted()
                .filter(Setting::isEnvironment)
                .filter(variable -> !knownVariables.contains(variable))
                .forEach(variable -> errors.add(
                        new SettingError(variable, environment.get(variable), "a variable that --help lists")));
        checkTogether();
    }

    private void check(Setting setting, String sourceName, String value) {
        setting.brokenBound(value)
                .peek(bound -> errors.add(new SettingError(sourceName, value, bound)))
                .onEmpty(() -> {
                    values.put(setting.name(), value);
                    sourceNames.put(setting.name(), sourceName);
                });
    }

    private void checkTogether() {
        checkNotAbove("default-timeout-millis", "max-timeout-millis");
        checkNotAbove("redial-min-millis", "redial-max-millis");
        checkNotAbove("ping-interval-millis", "ping-timeout-millis");
        checkNotAbove("part-overdue-millis", "model-overdue-millis");
        checkNotAbove("max-frame-bytes", "send-queue-bytes");
        checkFitsIntoFrame("max-body-bytes", "max-frame-bytes");
        boolean otlp = "otlp".equals(values.get("trace-exporter"));
        String url = values.getOrDefault("trace-url", "");
        if (otlp && url.isEmpty()) {
            errors.add(new SettingError(sourceNameOf("trace-url"), "", "an address, since trace-exporter is otlp"));
        }
        if (!otlp && !url.isEmpty() && values.containsKey("trace-exporter")) {
            errors.add(new SettingError(sourceNameOf("trace-url"), url, "nothing, since trace-exporter is not otlp"));
        }
        checkDistinctPorts("callers", "peers");
        checkDistinctPorts("callers", "operators");
        checkDistinctPorts("peers", "operators");
    }

    private void checkNotAbove(String lower, String upper) {
        if (bothPresent(lower, upper) && number(lower) > number(upper)) {
            errors.add(new SettingError(
                    sourceNameOf(lower), values.get(lower), "at most " + upper + ", which is " + values.get(upper)));
        }
    }

    /** A forwarded request carries its body and some fields in one peer message. */
    private void checkFitsIntoFrame(String body, String frame) {
        if (bothPresent(body, frame) && number(body) + FRAME_OVERHEAD_BYTES > number(frame)) {
            errors.add(new SettingError(
                    sourceNameOf(body),
                    values.get(body),
                    "at least " + FRAME_OVERHEAD_BYTES + " less than " + frame + ", which is " + values.get(frame)));
        }
    }

    private void checkDistinctPorts(String left, String right) {
        String leftPort = left + "-port";
        String rightPort = right + "-port";
        boolean samePort = bothPresent(leftPort, rightPort)
                && number(leftPort) != 0
                && number(leftPort) == number(rightPort)
                && values.getOrDefault(left + "-address", "").equals(values.get(right + "-address"));
        if (samePort) {
            errors.add(
                    new SettingError(sourceNameOf(rightPort), values.get(rightPort), "a port other than " + leftPort));
        }
    }

    private boolean bothPresent(String left, String right) {
        return values.containsKey(left) && values.containsKey(right);
    }

    private long number(String name) {
        return Long.parseLong(values.get(name));
    }

    private String sourceNameOf(String name) {
        return sourceNames.getOrDefault(name, "--" + name);
    }
}
