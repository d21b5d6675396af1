package org.rattanplank.bench.route;

/**
 * The properties of a service and its stand-in targets. Immutable and thread safe.
 *
 * @param name the name of the service
 * @param hasModelEngines whether its targets are model engines
 * @param targetsPerRegion the number of targets of each region, in the order of the regions
 * @param slots the number of requests that a target runs concurrently
 * @param nominalServiceMillis the average service time, from which the offered load is computed
 */
record ServiceProfile(
        String name, boolean hasModelEngines, int[] targetsPerRegion, int slots, double nominalServiceMillis) {}
