// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Notice that a target crashed while a request was in flight there.
 *
 * <p>Immutable and thread safe.
 *
 * @param target the target
 * @param fingerprintHigh the first 64 bits of the request's fingerprint
 * @param fingerprintLow the last 64 bits of the request's fingerprint
 * @param cleared whether the request is known not to be the cause
 * @param ageMillis the time since the crash in milliseconds
 */
public record CrashNotice(String target, long fingerprintHigh, long fingerprintLow, boolean cleared,
        long ageMillis) {
    public CrashNotice {
        target = Objects.requireNonNullElse(target, "");
    }
}
