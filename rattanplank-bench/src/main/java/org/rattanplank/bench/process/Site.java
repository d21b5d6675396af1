package org.rattanplank.bench.process;

import java.util.List;
import java.util.Objects;

/**
 * A data centre of a deployment. Immutable and thread safe.
 *
 * @param region the region
 * @param dataCentre the data centre
 * @param modelTargets the number of targets of the model service
 * @param plainTargets the number of targets of the plain service
 */
public record Site(String region, String dataCentre, int modelTargets, int plainTargets) {
    private static final String DATA_CENTRE_SUFFIX = "-hall";

    public Site {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * Returns the names of the data centre's two entry hosts.
     *
     * @return the names
     */
    public List<String> hosts() {
        String prefix = dataCentre.replace(DATA_CENTRE_SUFFIX, "");
        return List.of(prefix + "-1", prefix + "-2");
    }
}
