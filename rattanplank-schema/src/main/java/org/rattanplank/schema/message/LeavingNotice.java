// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Notice that a host or target is leaving.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the host or target
 * @param incarnation the leaving incarnation, zero if it is unknown
 * @param listRevision the revision of the platform's host list at the host that first sent the notice
 */
public record LeavingNotice(String name, long incarnation, long listRevision) {
    public LeavingNotice {
        name = Objects.requireNonNullElse(name, "");
    }
}
