package org.rattanplank.daemon.setting;

import java.util.Map;

/**
 * The validated values of all settings. Immutable and thread safe.
 *
 * @param values the values by setting name
 */
public record SettingValues(Map<String, String> values) {
    public SettingValues {
        values = Map.copyOf(values);
    }

    /**
     * Returns a value as text.
     *
     * @param name the setting's name
     * @return the value
     */
    public String text(String name) {
        return values.get(name);
    }

    /**
     * Returns a value as a number.
     *
     * @param name the setting's name
     * @return the value
     */
    public long number(String name) {
        return Long.parseLong(values.get(name));
    }
}
