// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;

/**
 * Reports the state of the sender at a fixed interval on each link inside a data centre.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation the sender's incarnation
 * @param generation the configuration generation in force at the sender
 * @param draining whether the sender is draining and accepts no new work
 * @param load requests in flight at the sender
 * @param storeReachable whether the sender recently read the platform's store
 * @param silentDataCentres the data centres that the sender exchanges summaries with and that are unresponsive
 */
public record Heartbeat(long incarnation, long generation, boolean draining, long load,
        boolean storeReachable, List<String> silentDataCentres) implements MemberMessage {
    public Heartbeat {
        silentDataCentres = silentDataCentres == null ? List.of() : List.copyOf(silentDataCentres);
    }
}
