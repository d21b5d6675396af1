// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Objects;

/**
 * The processes that hold the claims of a data centre, as messages and the store carry them.
 *
 * <p>Immutable and thread safe.
 *
 * @param dataCentre the data centre
 * @param number the view's number, higher for each change
 * @param completeFromMillis since when no claim has been forgotten
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
