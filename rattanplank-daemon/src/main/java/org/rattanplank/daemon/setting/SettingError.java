package org.rattanplank.daemon.setting;

/**
 * An invalid setting. Immutable and thread safe.
 *
 * @param setting the flag or variable
 * @param value the value that was given, or empty
 * @param expected what was expected
 */
public record SettingError(String setting, String value, String expected) {

    /**
     * Returns the error as one line for operators.
     *
     * @return the line
     */
    public String message() {
        return setting + ": \"" + value + "\" is invalid: expected " + expected;
    }
}
