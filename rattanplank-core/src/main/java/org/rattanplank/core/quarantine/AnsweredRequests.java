package org.rattanplank.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.Lazy;
import io.vavr.control.Option;

/**
 * What this host knows to be innocent of crashes: the requests that targets have completed last, and the prompt parts that
 * they have answered last.
 *
 * <p>Invariant: bounded in number; adding a request computes no fingerprint. Confined to its owner's thread.
 */
public final class AnsweredRequests {
    private final CompletedRequests completed = CompletedRequests.empty();
    private final SoundPromptParts soundParts = SoundPromptParts.empty();

    private AnsweredRequests() {}

    /**
     * Creates an empty memory.
     *
     * @return the memory
     */
    public static AnsweredRequests empty() {
        return new AnsweredRequests();
    }

    /**
     * Records that a target has completed a request.
     *
     * @param fingerprint the request
     * @param promptParts the identifiers of its parts that others may share
     * @param nowMillis the time
     */
    public void completed(Lazy<Fingerprint> fingerprint, List<String> promptParts, long nowMillis) {
        completed.add(fingerprint);
        answered(promptParts, nowMillis);
    }

    /**
     * Records that a target has answered a request for a while.
     *
     * @param promptParts the identifiers of its parts that others may share
     * @param nowMillis the time
     */
    public void answered(List<String> promptParts, long nowMillis) {
        soundParts.answered(promptParts, nowMillis);
    }

    /**
     * Returns what may be to blame of the requests that were lost with a target.
     *
     * @param lost the requests
     * @param nowMillis the time
     * @return those that were not completed, each with the parts that were not answered of late
     */
    public List<LostRequest> suspects(Collection<LostRequest> lost, long nowMillis) {
        Set<Fingerprint> innocent = completed.fingerprints();
        List<LostRequest> suspects = new ArrayList<>();
        for (LostRequest each : lost) {
            Fingerprint fingerprint = each.identity().fingerprint();
            if (!innocent.contains(fingerprint)) {
                List<String> parts = each.identity().promptParts().stream()
                        .filter(id -> soundParts.soundUntilMillis(id).forAll(until -> until < nowMillis))
                        .toList();
                suspects.add(new LostRequest(new RequestIdentity(fingerprint, parts), each.inFlightMillis()));
            }
        }
        return suspects;
    }

    /**
     * Returns the requests and prompt parts that another host suspects and this one knows to be innocent.
     *
     * @param evidence the evidence of the other host
     * @param nowMillis the time
     * @return the requests and parts, with the time until which crashes are not their fault
     */
    public Map<Fingerprint, Long> innocents(List<CrashEvidence> evidence, long nowMillis) {
        Map<Fingerprint, Long> innocents = new HashMap<>();
        completed.among(evidence).forEach(request -> innocents.put(request, nowMillis));
        for (CrashEvidence each : evidence) {
            Option<Long> soundUntil = each.partUse().flatMap(use -> soundParts.soundUntilMillis(use.id()));
            if (!each.cleared()) {
                soundUntil.forEach(until -> innocents.put(each.fingerprint(), until));
            }
        }
        return innocents;
    }
}
