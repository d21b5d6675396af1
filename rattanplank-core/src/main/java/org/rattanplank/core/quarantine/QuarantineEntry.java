package org.rattanplank.core.quarantine;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * An entry of the quarantine: a request that is not sent to any target, or a prompt part whose requests are not, and why.
 * Immutable and thread safe.
 *
 * @param fingerprint the request or the part
 * @param promptParts the identifiers of the parts that a request must have to be rejected, empty for a single request
 * @param crashes the crashes that it is blamed for, oldest first
 */
public record QuarantineEntry(Fingerprint fingerprint, List<String> promptParts, List<Crash> crashes) {
    public QuarantineEntry {
        Objects.requireNonNull(fingerprint, "fingerprint");
        promptParts = List.copyOf(promptParts);
        crashes = List.copyOf(crashes);
    }

    /**
     * Returns the crashes as text, as in logs.
     *
     * @return the text of each crash, separated by commas
     */
    public String crashesText() {
        return crashes.stream().map(Crash::text).collect(Collectors.joining(", "));
    }

    /**
     * A crash of a target.
     *
     * @param target the text of the target's incarnation
     * @param source the host that noticed the crash, or from which this host learned of it
     * @param ageMillis the time since the crash
     */
    public record Crash(String target, String source, long ageMillis) {
        public Crash {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(source, "source");
        }

        /**
         * Returns the crash as text, as in logs.
         *
         * @return the target, the time since the crash and the source
         */
        public String text() {
            return target + " " + ageMillis + " ms ago (" + source + ")";
        }
    }
}
