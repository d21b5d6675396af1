// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Summarizes the state of one data centre for another; relayed once inside the receiving data centre.
 *
 * <p>Immutable and thread safe.
 *
 * @param region the region of the data centre
 * @param dataCentre the summarized data centre
 * @param generation the configuration generation in force there
 * @param hosts its live entry hosts that accept new work, bounded in number
 * @param services the targets, slots, running and queued requests of each service of the region, bounded in number; empty unless this data centre represents its region
 * @param leaving the newest notices of leaving hosts and targets, bounded in number
 */
public record RegionSummary(String region, String dataCentre, long generation, List<String> hosts,
        Map<String, List<Long>> services, List<LeavingNotice> leaving) implements MemberMessage {
    public RegionSummary {
        region = Objects.requireNonNullElse(region, "");
        dataCentre = Objects.requireNonNullElse(dataCentre, "");
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
        services = services == null ? Map.of() : Map.copyOf(services);
        leaving = leaving == null ? List.of() : List.copyOf(leaving);
    }
}
