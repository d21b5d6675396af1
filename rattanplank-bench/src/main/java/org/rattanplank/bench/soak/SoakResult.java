package org.rattanplank.bench.soak;

import java.util.List;
import java.util.Map;

/**
 * What one run of the soak found. Immutable and thread safe.
 *
 * @param calls the calls made
 * @param answered the calls with a whole answer
 * @param faults how often each fault was made
 * @param broken the promises that were broken; none if all held
 */
public record SoakResult(int calls, long answered, Map<SoakFault, Integer> faults, List<String> broken) {
    public SoakResult {
        faults = Map.copyOf(faults);
        broken = List.copyOf(broken);
    }

    String summary() {
        int harmed = faults.values().stream().mapToInt(Integer::intValue).sum();
        return calls + " calls, " + answered + " answered whole, " + harmed + " faults, " + broken.size() + " broken";
    }
}
