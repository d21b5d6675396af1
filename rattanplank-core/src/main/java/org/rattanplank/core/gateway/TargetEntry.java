package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What a target says of itself. Immutable and thread safe.
 *
 * @param run which run of which target says it
 * @param service the service that it belongs to
 * @param ip its IP address
 * @param port its port
 * @param dataCentre where it stands
 * @param slots the requests that it works on at once
 * @param leaving whether it takes no new work
 * @param coldMillis how long it stays cold, as of when this was written
 */
public record TargetEntry(
        TargetRun run,
        String service,
        String ip,
        int port,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldMillis) {
    public TargetEntry {
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * The identifier of the target.
     *
     * @return the identifier, which a later run may have as well
     */
    public String id() {
        return run.id();
    }
}
