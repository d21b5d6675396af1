// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Notice that a target crashed while a request, or a request with a prompt part, was in flight there.
 *
 * <p>Immutable and thread safe.
 *
 * @param target the target
 * @param fingerprintHigh the first 64 bits of the request's or the part's fingerprint
 * @param fingerprintLow the last 64 bits of the request's or the part's fingerprint
 * @param cleared whether the request or the part is known not to be the cause
 * @param ageMillis the time since the crash in milliseconds
 * @param promptPart the identifier of the part, empty if the notice is about a request
 * @param requestHigh the first 64 bits of the fingerprint of a request with the part
 * @param requestLow the last 64 bits of the fingerprint of a request with the part
 * @param inFlightMillis how long a request with the part had been in flight in milliseconds
 */
public record CrashNotice(String target, long fingerprintHigh, long fingerprintLow, boolean cleared,
        long ageMillis, String promptPart, long requestHigh, long requestLow, long inFlightMillis) {
    public CrashNotice {
        target = Objects.requireNonNullElse(target, "");
        promptPart = Objects.requireNonNullElse(promptPart, "");
    }
}
