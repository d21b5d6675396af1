package org.rattanplank.schema.intent;

import java.util.Objects;

/**
 * A validation error in a folder of intents. Immutable and thread safe.
 *
 * @param file the name of the file, empty if the fault concerns no single file
 * @param line the line number from one, or zero if it is unknown
 * @param field the name of the field, empty for the whole file
 * @param expected what was expected
 * @param found what was found
 */
public record IntentFault(String file, int line, String field, String expected, String found) {
    public IntentFault {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(field, "field");
        Objects.requireNonNull(expected, "expected");
        Objects.requireNonNull(found, "found");
    }

    /**
     * Formats the fault as one line for operators.
     *
     * @return the line, such as {@code 10-a.yaml:3: share: expected at most 1, found 2}
     */
    public String toLine() {
        String location = line > 0 ? file + ":" + line : file;
        String fieldPrefix = field.isEmpty() ? "" : field + ": ";
        return location + ": " + fieldPrefix + "expected " + expected + ", found " + found;
    }
}
