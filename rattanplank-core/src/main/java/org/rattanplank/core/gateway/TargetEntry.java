package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What a target says of itself. Immutable and thread safe.
 *
 * @param id the identifier of this run of the target; a restart has another
 * @param service the service that it belongs to
 * @param ip its IP address
 * @param port its port
 * @param dataCentre where it stands
 * @param slots the requests that it works on at once
 * @param leaving whether it takes no new work
 * @param coldMillis how long it stays cold, as of when this was written
 */
public record TargetEntry(
        String id,
        String service,
        String ip,
        int port,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldMillis) {
    public TargetEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
