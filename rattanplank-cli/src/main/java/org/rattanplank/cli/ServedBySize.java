package org.rattanplank.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the served and all generations of a route by size.
 *
 * <p>Invariant: the results do not depend on the order in which requests were added. Where a band boundary falls among
 * requests of equal size, the served requests of that size are divided in proportion. Confined to one thread.
 */
final class ServedBySize {
    /** Work of decoding one output token, in prompt tokens prefilled. */
    private static final long OUTPUT_TOKEN_WEIGHT = 10;

    private final TreeMap<Long, ServedCount> countsLargestFirst = new TreeMap<>(Comparator.reverseOrder());
    private ServedCount total = new ServedCount(0, 0);

    void add(long promptTokens, long outputTokens, boolean served) {
        ServedCount request = new ServedCount(1, served ? 1 : 0);
        countsLargestFirst.merge(promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens, request, ServedCount::plus);
        total = total.plus(request);
    }

    long requests() {
        return total.requests();
    }

    double servedShare() {
        return total.servedShare();
    }

    /** Returns the bands that contain requests, largest sizes first. */
    List<SizeBandShare> shares() {
        List<SizeBandShare> shares = new ArrayList<>();
        for (SizeBand band : SizeBand.values()) {
            long startRank = band.startRank(requests());
            long endRank = band.endRank(requests());
            if (endRank > startRank) {
                shares.add(new SizeBandShare(
                        band, endRank - startRank, served(startRank, endRank) / (endRank - startRank), servedShare()));
            }
        }
        return shares;
    }

    private double served(long startRank, long endRank) {
        double served = 0;
        long sizeStart = 0;
        for (Map.Entry<Long, ServedCount> entry : countsLargestFirst.entrySet()) {
            if (sizeStart >= endRank) {
                break;
            }
            ServedCount count = entry.getValue();
            long sizeEnd = sizeStart + count.requests();
            long overlap = Math.min(sizeEnd, endRank) - Math.max(sizeStart, startRank);
            served += Math.max(0, overlap) * count.servedShare();
            sizeStart = sizeEnd;
        }
        return served;
    }
}
