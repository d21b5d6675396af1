// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;

/**
 * Reports crashes of targets and the requests in flight there; relayed by each host to which it is new.
 *
 * <p>Immutable and thread safe.
 *
 * @param notices the crashes, bounded in number
 */
public record CrashNews(List<CrashNotice> notices) implements MemberMessage {
    public CrashNews {
        notices = notices == null ? List.of() : List.copyOf(notices);
    }
}
