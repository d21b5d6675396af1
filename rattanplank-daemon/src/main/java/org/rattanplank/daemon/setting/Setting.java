package org.rattanplank.daemon.setting;

import java.util.List;
import java.util.Locale;

import io.vavr.control.Option;

/**
 * A setting with its type and bounds. Immutable and thread safe.
 *
 * @param name its name, as in flags
 * @param type the type of its values
 * @param unit the unit of its values, or empty
 * @param required whether it has no default
 * @param defaultValue the value if none is given
 * @param min the minimum of an integer
 * @param max the maximum of an integer
 * @param choices the values of a choice
 * @param description its meaning, as shown by {@code --help}
 */
public record Setting(
        String name,
        SettingType type,
        String unit,
        boolean required,
        String defaultValue,
        long min,
        long max,
        List<String> choices,
        String description) {
    private static final String ENVIRONMENT_PREFIX = "RATTANPLANK_";

    public Setting {
        choices = List.copyOf(choices);
    }

    /**
     * Returns whether an environment variable is meant for the daemon.
     *
     * @param variable the variable's name
     * @return whether it has the prefix of the daemon's variables and so must name a setting
     */
    public static boolean isEnvironment(String variable) {
        return variable.startsWith(ENVIRONMENT_PREFIX);
    }

    /**
     * Returns the name as a flag.
     *
     * @return the flag
     */
    public String flag() {
        return "--" + name;
    }

    /**
     * Returns the name as an environment variable.
     *
     * @return the variable
     */
    public String environment() {
        return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Checks a value.
     *
     * @param value the value
     * @return the bound that it violates, or none if it is valid
     */
    public Option<String> brokenBound(String value) {
        boolean omitted = value.isEmpty() && !required && defaultValue.isEmpty();
        return omitted ? Option.none() : type.brokenBound(this, value);
    }
}
