package org.rattanplank.core.intent;

import java.util.Objects;

/**
 * A file that two operators changed concurrently in incompatible ways. Immutable and thread safe.
 *
 * @param file the file's name
 * @param reason how the changes conflict
 */
public record ConfigurationConflict(String file, Reason reason) {
    public ConfigurationConflict {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(reason, "reason");
    }

    /** How two changes of one file conflict. */
    public enum Reason {
        /** Both added the file with different contents. */
        BOTH_ADDED("both added it with different contents"),
        /** Both changed the file in different ways. */
        BOTH_CHANGED("both changed it differently"),
        /** This change removes the file and the other one changed it. */
        REMOVED_HERE("you removed it, another operator changed it"),
        /** The other change removed the file and this one changes it. */
        REMOVED_THERE("another operator removed it, you changed it");

        private final String description;

        Reason(String description) {
            this.description = description;
        }

        /**
         * Returns a description for operators.
         *
         * @return a short sentence
         */
        public String description() {
            return description;
        }
    }
}
