package org.rattanplank.schema.intent;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import io.vavr.control.Option;

/** Kind of object that an intent configures; each kind has a JSON Schema. */
public enum IntentKind {
    /** A region with its data centres. */
    REGION,
    /** A service that callers can request. */
    SERVICE,
    /** A client account. */
    ACCOUNT,
    /** The regions that a residency label allows. */
    RESIDENCY,
    /** The maximum fraction of all work that a region accepts. */
    SHARE,
    /** A host or target to be taken out of service. */
    RETIRE,
    /** The maximum request rate and concurrency of a client account. */
    LIMIT;

    /**
     * Finds a kind by its label in a file.
     *
     * @param label the label
     * @return the kind, or none if it is unknown to this version
     */
    public static Option<IntentKind> of(String label) {
        return Option.ofOptional(Arrays.stream(values())
                .filter(kind -> kind.label().equals(label))
                .findFirst());
    }

    /**
     * Returns the labels of all kinds.
     *
     * @return the labels, separated by commas
     */
    public static String labels() {
        return Arrays.stream(values()).map(IntentKind::label).collect(Collectors.joining(", "));
    }

    /**
     * Returns the label of this kind in a file.
     *
     * @return the label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
