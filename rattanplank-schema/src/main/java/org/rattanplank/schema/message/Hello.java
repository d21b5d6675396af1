// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.Objects;

/**
 * Identifies the sender; the first message on a link.
 *
 * <p>Immutable and thread safe.
 *
 * @param host the sender's name
 * @param incarnation the sender's start time in milliseconds, which increases with each start
 * @param region the sender's region
 * @param dataCentre the sender's data centre
 * @param version the highest protocol version that the sender supports
 */
public record Hello(String host, long incarnation, String region, String dataCentre,
        long version) implements MemberMessage {
    public Hello {
        host = Objects.requireNonNullElse(host, "");
        region = Objects.requireNonNullElse(region, "");
        dataCentre = Objects.requireNonNullElse(dataCentre, "");
    }
}
