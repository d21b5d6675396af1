package org.rattanplank.core.quarantine;

import java.util.List;

/**
 * What a change of the evidence has brought. Immutable and thread safe.
 *
 * @param news the evidence that this host didn't have before
 * @param quarantined the requests and prompt parts that are quarantined from now on
 */
public record EvidenceChange(List<CrashEvidence> news, List<QuarantineEntry> quarantined) {
    public EvidenceChange {
        news = List.copyOf(news);
        quarantined = List.copyOf(quarantined);
    }
}
