package org.rattanplank.bench.soak;

import java.util.List;
import java.util.Map;

/**
 * The result of one soak test run. Immutable and thread safe.
 *
 * @param calls the number of calls
 * @param answered the number of calls with a complete successful response
 * @param faultCounts how often each fault was injected
 * @param violations descriptions of the guarantees that were violated
 */
public record SoakResult(int calls, long answered, Map<SoakFault, Integer> faultCounts, List<String> violations) {
    public SoakResult {
        faultCounts = Map.copyOf(faultCounts);
        violations = List.copyOf(violations);
    }

    String summary() {
        int faultCount =
                faultCounts.values().stream().mapToInt(Integer::intValue).sum();
        return calls + " calls, " + answered + " answered whole, " + faultCount + " faults, " + violations.size()
                + " broken";
    }
}
