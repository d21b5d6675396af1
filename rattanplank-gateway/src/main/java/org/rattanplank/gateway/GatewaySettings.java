package org.rattanplank.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import org.rattanplank.core.gateway.Mechanisms;
import org.rattanplank.core.host.Place;

/**
 * The settings of one gateway process. Immutable and thread safe.
 *
 * @param name this host's name
 * @param place where it stands
 * @param regionsByDataCentre the region of each data centre
 * @param callers where callers are served
 * @param readiness where the platform asks whether this host is ready
 * @param directory where callers ask which hosts to use
 * @param peers where other hosts reach this one
 * @param metrics where metrics are served
 * @param store where the platform's store is
 * @param linkBytesPerMilli what this host's link takes each way
 * @param limits the bounds that all hosts keep together
 * @param mechanisms which mechanisms decide; all but in experiments
 */
public record GatewaySettings(
        String name,
        Place place,
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
        Objects.requireNonNull(place, "place");
        regionsByDataCentre = Map.copyOf(regionsByDataCentre);
        if (linkBytesPerMilli <= 0) {
            throw new IllegalArgumentException("a link of " + linkBytesPerMilli + " bytes/ms");
        }
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(mechanisms, "mechanisms");
    }

    /**
     * The data centres of this host's region.
     *
     * @return their names
     */
    public Set<String> ownDataCentres() {
        return regionsByDataCentre.entrySet().stream()
                .filter(entry -> entry.getValue().equals(place.region()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
