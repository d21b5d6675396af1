// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Sums up one data centre for another; relayed once inside the data centre that receives it.
 *
 * <p>Immutable and thread safe.
 *
 * @param region the region of the data centre
 * @param dataCentre the data centre that is summed up
 * @param generation the configuration generation in force there
 * @param hosts its entry hosts that live and take new work, bounded in number
 * @param services targets, slots, running and queued of each service of the region, bounded in number; empty unless this data centre speaks for its region
 * @param leaving the newest words of hosts and targets that are leaving, bounded in number
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
