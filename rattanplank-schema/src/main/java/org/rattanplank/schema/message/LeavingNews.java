// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;

/**
 * Sent inside a data centre as soon as a host learns that others are leaving.
 *
 * <p>Immutable and thread safe.
 *
 * @param notices who is leaving
 */
public record LeavingNews(List<LeavingNotice> notices) implements MemberMessage {
    public LeavingNews {
        notices = notices == null ? List.of() : List.copyOf(notices);
    }
}
