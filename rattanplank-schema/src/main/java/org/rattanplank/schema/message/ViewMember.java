// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * A process that stores the claims of a data centre.
 *
 * <p>Immutable and thread safe.
 *
 * @param host the host's name
 * @param incarnation the process's start time in milliseconds
 */
public record ViewMember(String host, long incarnation) {
    public ViewMember {
        host = Objects.requireNonNullElse(host, "");
    }
}
