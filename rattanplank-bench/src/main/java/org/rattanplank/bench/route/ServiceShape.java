package org.rattanplank.bench.route;

/**
 * How the stand-in targets of one service behave. Immutable and thread safe.
 *
 * @param name the service's name
 * @param model whether its targets are model engines
 * @param targetsByRegion how many targets each region has, in the order of the regions
 * @param slots how many requests a target runs at once
 * @param nominalRunMillis how long a request takes on average, from which the offered load is worked out
 */
record ServiceShape(String name, boolean model, int[] targetsByRegion, int slots, double nominalRunMillis) {}
