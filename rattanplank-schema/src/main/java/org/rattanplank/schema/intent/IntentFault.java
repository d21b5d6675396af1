package org.rattanplank.schema.intent;

import java.util.Objects;

/**
 * One thing that is wrong with a folder of intents. Immutable and thread safe.
 *
 * @param file the file's name, empty if the fault is in no one file
 * @param line the line, counted from one, or zero if it is not known
 * @param field the field, empty for the file as a whole
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
     * Puts the fault into one line for operators.
     *
     * @return the line, such as {@code 10-a.yaml:3: share: expected at most 1, found 2}
     */
    public String toLine() {
        String place = line > 0 ? file + ":" + line : file;
        String what = field.isEmpty() ? "" : field + ": ";
        return place + ": " + what + "expected " + expected + ", found " + found;
    }
}
