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
 * Reads the settings from flags and environment variables, and finds every fault in one go. Confined to one thread.
 *
 * <p>Invariant: settings come out only if there is no fault at all.
 */
public final class SettingsReader {
    /** The variables of the operators' tool, which may be set in the same shell. */
    private static final Set<String> VARIABLES_OF_TOOL = Set.of("RATTANPLANK_OPERATORS", "RATTANPLANK_STORE");

    private static final long FRAME_FIELDS_BYTES = 65_536;

    private static final Set<String> COMMANDS = Set.of("--help", "--check");

    private static final String FLAG_PREFIX = "--";

    private final List<SettingFault> faults = new ArrayList<>();
    private final Set<String> named = new HashSet<>();
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> namesAsGiven = new HashMap<>();

    private SettingsReader() {}

    /**
     * Reads the flags, which tell whether help or a check is wanted.
     *
     * @param arguments the command line
     * @return the flags; what is faulty in the command line is left out
     */
    public static DaemonFlags flags(List<String> arguments) {
        return new SettingsReader().parse(arguments);
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
        reader.take(reader.parse(arguments).given(), environment);
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

    /** JCommander stops at the first fault; so it gets only what is sound, and the faults are found before. */
    private DaemonFlags parse(List<String> arguments) {
        Map<String, Setting> byFlag = new HashMap<>();
        DaemonTable.SETTINGS.forEach(setting -> byFlag.put(setting.flag(), setting));
        List<String> sound = new ArrayList<>();
        for (int i = 0; i < arguments.size(); i++) {
            String argument = arguments.get(i);
            boolean hasValue = i + 1 < arguments.size() && !arguments.get(i + 1).startsWith(FLAG_PREFIX);
            if (COMMANDS.contains(argument)) {
                sound.add(argument);
                continue;
            }
            if (!byFlag.containsKey(argument)) {
                faults.add(new SettingFault(argument, "", "a flag that --help lists"));
            } else if (!hasValue) {
                faults.add(new SettingFault(argument, "", "a value"));
            } else if (sound.contains(argument)) {
                faults.add(new SettingFault(argument, arguments.get(i + 1), "only one value"));
            } else {
                sound.addAll(List.of(argument, arguments.get(i + 1)));
            }
            named.add(argument);
            i += hasValue && argument.startsWith(FLAG_PREFIX) ? 1 : 0;
        }
        DaemonFlags flags = new DaemonFlags();
        JCommander.newBuilder().addObject(flags).build().parse(sound.toArray(new String[0]));
        return flags;
    }

    private void take(Map<String, String> flags, Map<String, String> environment) {
        Set<String> variables = new HashSet<>(VARIABLES_OF_TOOL);
        for (Setting setting : DaemonTable.SETTINGS) {
            variables.add(setting.environment());
            if (flags.containsKey(setting.name())) {
                check(setting, setting.flag(), flags.get(setting.name()));
            } else if (environment.containsKey(setting.environment())) {
                check(setting, setting.environment(), environment.get(setting.environment()));
            } else if (setting.required() && !named.contains(setting.flag())) {
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
        fitsIntoFrame("max-body-bytes", "max-frame-bytes");
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

    /** A forwarded request carries its body and some fields in one message. */
    private void fitsIntoFrame(String body, String frame) {
        if (bothThere(body, frame) && number(body) + FRAME_FIELDS_BYTES > number(frame)) {
            faults.add(new SettingFault(
                    given(body),
                    values.get(body),
                    "at least " + FRAME_FIELDS_BYTES + " less than " + frame + ", which is " + values.get(frame)));
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
}
