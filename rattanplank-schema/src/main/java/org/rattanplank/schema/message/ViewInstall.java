// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Reports the newest view that the sender knows to be formed.
 *
 * <p>Immutable and thread safe.
 *
 * @param view the view
 * @param recordRevision the store's revision of the newest record that the sender knows, or zero
 * @param recorded that record
 */
public record ViewInstall(ViewRecord view, long recordRevision,
        ViewRecord recorded) implements ClaimMessage {
}
