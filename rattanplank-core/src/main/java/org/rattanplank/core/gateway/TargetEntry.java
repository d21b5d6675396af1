package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * The entry that a target writes about itself. Immutable and thread safe.
 *
 * @param incarnation the incarnation that wrote it
 * @param service the service that it belongs to
 * @param ip its IP address
 * @param port its port
 * @param dataCentre its data centre
 * @param slots the requests that it processes concurrently
 * @param leaving whether it accepts no new work
 * @param coldMillis how long it stays cold, counted from the time of writing
 */
public record TargetEntry(
        TargetIncarnation incarnation,
        String service,
        String ip,
        int port,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldMillis) {
    public TargetEntry {
        Objects.requireNonNull(incarnation, "run");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * Returns the identifier of the target.
     *
     * @return the identifier, which a later incarnation may share
     */
    public String id() {
        return incarnation.id();
    }
}
