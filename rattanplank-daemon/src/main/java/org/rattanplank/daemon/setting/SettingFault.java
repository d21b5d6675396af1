package org.rattanplank.daemon.setting;

/**
 * What is wrong with one setting. Immutable and thread safe.
 *
 * @param setting the flag or variable
 * @param value the value that was given, or empty
 * @param bound what was expected
 */
public record SettingFault(String setting, String value, String bound) {

    /**
     * The fault as one line for operators.
     *
     * @return the line
     */
    public String line() {
        return setting + ": \"" + value + "\" is refused: expected " + bound;
    }
}
