// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * First word that a host or target is leaving.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the host or target
 * @param incarnation the incarnation that is leaving, zero if it is not known
 * @param listRevision the revision of the platform's list that the first teller had
 */
public record LeavingNotice(String name, long incarnation, long listRevision) {
    public LeavingNotice {
        name = Objects.requireNonNullElse(name, "");
    }
}
