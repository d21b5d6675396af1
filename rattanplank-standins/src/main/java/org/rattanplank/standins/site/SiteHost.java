package org.rattanplank.standins.site;

import java.util.List;
import java.util.Objects;

/**
 * A gateway host of a deployment on stand-ins. Immutable and thread safe.
 *
 * @param name its name
 * @param region its region
 * @param regions all regions, each of which has one data centre
 * @param ip its address on the loopback network
 * @param port the first of the five consecutive ports that it uses
 * @param store the store's address
 */
public record SiteHost(String name, String region, List<String> regions, String ip, int port, String store) {
    public SiteHost {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(store, "store");
        regions = List.copyOf(regions);
    }
}
