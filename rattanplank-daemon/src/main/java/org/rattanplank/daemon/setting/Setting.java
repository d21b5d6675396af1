package org.rattanplank.daemon.setting;

import java.util.List;
import java.util.Locale;

import io.vavr.control.Option;

/**
 * One setting with its bounds. Immutable and thread safe.
 *
 * @param name its name, as flags write it
 * @param type what its values are
 * @param unit the unit of its values, or empty
 * @param required whether it has no default
 * @param defaultValue the value if none is given
 * @param min the least number
 * @param max the greatest number
 * @param choices the values of a choice
 * @param text what it means
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
        String text) {
    private static final String ENVIRONMENT_PREFIX = "RATTANPLANK_";

    public Setting {
        choices = List.copyOf(choices);
    }

    /**
     * Tells whether an environment variable is meant for the daemon.
     *
     * @param variable the variable's name
     * @return whether it must name a setting
     */
    public static boolean isEnvironment(String variable) {
        return variable.startsWith(ENVIRONMENT_PREFIX);
    }

    /**
     * The name as a flag.
     *
     * @return the flag
     */
    public String flag() {
        return "--" + name;
    }

    /**
     * The name as an environment variable.
     *
     * @return the variable
     */
    public String environment() {
        return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Finds what is wrong with a value.
     *
     * @param value the value
     * @return the bound that it breaks, or none if it is sound
     */
    public Option<String> brokenBound(String value) {
        boolean leftOut = value.isEmpty() && !required && defaultValue.isEmpty();
        return leftOut ? Option.none() : type.brokenBound(this, value);
    }
}
