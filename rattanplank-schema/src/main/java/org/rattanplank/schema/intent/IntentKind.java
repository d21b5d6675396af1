package org.rattanplank.schema.intent;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import io.vavr.control.Option;

/** What an intent is about; each kind has one JSON Schema. */
public enum IntentKind {
    /** A region with its data centres. */
    REGION,
    /** A service that callers may ask for. */
    SERVICE,
    /** An account of callers. */
    ACCOUNT,
    /** The regions that a residency label allows. */
    RESIDENCY,
    /** The most that a region takes of all work. */
    SHARE,
    /** A host or target that is to leave. */
    RETIRE,
    /** The most that an account may ask for. */
    LIMIT;

    /**
     * Finds a kind by the word that stands for it in a file.
     *
     * @param word the word
     * @return the kind, or none if this version does not know it
     */
    public static Option<IntentKind> of(String word) {
        return Option.ofOptional(
                Arrays.stream(values()).filter(kind -> kind.word().equals(word)).findFirst());
    }

    /**
     * Lists the words of all kinds.
     *
     * @return the words, comma separated
     */
    public static String words() {
        return Arrays.stream(values()).map(IntentKind::word).collect(Collectors.joining(", "));
    }

    /**
     * The word that stands for this kind in a file.
     *
     * @return the word
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
