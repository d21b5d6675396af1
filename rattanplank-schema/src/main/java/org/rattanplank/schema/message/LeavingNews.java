// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;

/**
 * Reports leaving hosts and targets inside a data centre, as soon as a host observes them.
 *
 * <p>Immutable and thread safe.
 *
 * @param notices the leaving hosts and targets
 */
public record LeavingNews(List<LeavingNotice> notices) implements MemberMessage {
    public LeavingNews {
        notices = notices == null ? List.of() : List.copyOf(notices);
    }
}
