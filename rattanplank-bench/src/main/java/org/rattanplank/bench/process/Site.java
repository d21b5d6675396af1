package org.rattanplank.bench.process;

import java.util.List;
import java.util.Objects;

/**
 * A data centre of a deployment. Immutable and thread safe.
 *
 * @param region the region
 * @param dataCentre the data centre
 * @param models how many model replicas it has
 * @param plains how many replicas of the plain service it has
 */
public record Site(String region, String dataCentre, int models, int plains) {
    private static final String SUFFIX = "-hall";

    public Site {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * The names of the data centre's two entry hosts.
     *
     * @return the names
     */
    public List<String> hosts() {
        String prefix = dataCentre.replace(SUFFIX, "");
        return List.of(prefix + "-1", prefix + "-2");
    }
}
