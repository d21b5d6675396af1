// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;

/**
 * Sent at a fixed interval on each link inside a data centre.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation the sender's incarnation
 * @param generation the configuration generation in force at the sender
 * @param draining whether the sender takes no new work
 * @param load requests in flight at the sender
 * @param storeReachable whether the sender read the platform's store lately
 * @param silentDataCentres the data centres that the sender speaks to and no longer hears
 */
public record Heartbeat(long incarnation, long generation, boolean draining, long load,
        boolean storeReachable, List<String> silentDataCentres) implements MemberMessage {
    public Heartbeat {
        silentDataCentres = silentDataCentres == null ? List.of() : List.copyOf(silentDataCentres);
    }
}
