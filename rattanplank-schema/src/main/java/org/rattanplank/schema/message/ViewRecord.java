// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Objects;

/**
 * The processes that store the claims of a data centre, as represented in messages and in the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param dataCentre the data centre
 * @param number the number of the view, which increases with each change
 * @param completeFromMillis the time since which no claim has been evicted, in milliseconds since the epoch
 * @param changeId the change that formed the view
 * @param members the members
 */
public record ViewRecord(String dataCentre, long number, long completeFromMillis, String changeId,
        List<ViewMember> members) {
    public ViewRecord {
        dataCentre = Objects.requireNonNullElse(dataCentre, "");
        changeId = Objects.requireNonNullElse(changeId, "");
        members = members == null ? List.of() : List.copyOf(members);
    }
}
