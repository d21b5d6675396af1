package org.rattanplank.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.rattanplank.core.gateway.Mechanisms;
import org.rattanplank.core.host.Location;

/**
 * The settings of one gateway process. Immutable and thread safe.
 *
 * @param name the name of this host
 * @param location the location of this host
 * @param regionsByDataCentre the region of each data centre
 * @param callers the address for callers
 * @param readiness the address for readiness probes of the platform
 * @param directory the address for requests for entry hosts
 * @param peers the address for other hosts
 * @param metrics the address for metrics
 * @param store the address of the platform's store
 * @param linkBytesPerMilli the bandwidth of this host's network link in each direction
 * @param limits the limits that apply to all hosts
 * @param mechanisms the enabled mechanisms; all except in experiments
 */
public record GatewaySettings(
        String name,
        Location location,
        Map<String, String> regionsByDataCentre,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress directory,
        InetSocketAddress peers,
        InetSocketAddress metrics,
        InetSocketAddress store,
        long linkBytesPerMilli,
        SharedLimits limits,
        Mechanisms mechanisms) {
    public GatewaySettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(location, "location");
        regionsByDataCentre = Map.copyOf(regionsByDataCentre);
        if (linkBytesPerMilli <= 0) {
            throw new IllegalArgumentException("link bandwidth must be positive: " + linkBytesPerMilli + " bytes/ms");
        }
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(mechanisms, "mechanisms");
    }

    /**
     * Returns the number of regions of the installation.
     *
     * @return the number
     */
    public int regions() {
        return Set.copyOf(regionsByDataCentre.values()).size();
    }
}
