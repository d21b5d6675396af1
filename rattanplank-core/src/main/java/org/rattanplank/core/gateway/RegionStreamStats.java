package org.rattanplank.core.gateway;

/**
 * Statistics of the streams of a service in a region. Immutable and thread safe.
 *
 * @param interTokenMillis the mean time between two events of a stream at the region's best engines, zero if none is known
 * @param delayCostMillisPerToken the time that prefilling a token takes from lagging streams, summed over them
 */
public record RegionStreamStats(double interTokenMillis, double delayCostMillisPerToken) {
    /** No stream is known. */
    public static final RegionStreamStats NONE = new RegionStreamStats(0, 0);
}
