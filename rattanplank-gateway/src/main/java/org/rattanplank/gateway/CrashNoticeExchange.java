package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.gateway.pass.RequestQuarantine;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.PeerLink;
import org.rattanplank.gateway.peer.PeerLinks;

/**
 * Exchanges evidence of crashes with other hosts: new evidence at once, all of it with a host that is connected.
 *
 * <p>Invariant: evidence is sent only to hosts that accept it. A host is linked to some hosts of each other region only,
 * so evidence from another region is passed on inside the own one, once. Confined to the event loop.
 */
final class CrashNoticeExchange {
    private final RequestQuarantine quarantine;
    private final PeerLinks links;
    private final Set<PeerLink> informed = new HashSet<>();

    CrashNoticeExchange(RequestQuarantine quarantine, PeerLinks links) {
        this.quarantine = quarantine;
        this.links = links;
        quarantine.onEvidence(evidence -> send(evidence, true));
    }

    void stateReceived(PeerLink link) {
        if (!link.state().supportsCrashNotices() || !informed.add(link)) {
            return;
        }
        for (PeerFrame notice : notices(quarantine.evidence())) {
            if (isAccepted(link, notice)) {
                link.send(notice);
            }
        }
    }

    void noticeReceived(PeerLink link, List<CrashEvidence> evidence) {
        List<CrashEvidence> news = quarantine.merge(link.name(), evidence);
        if (!news.isEmpty() && !link.isInOwnRegion()) {
            send(news, false);
        }
    }

    void disconnected(PeerLink link) {
        informed.remove(link);
    }

    private void send(List<CrashEvidence> evidence, boolean toOtherRegions) {
        for (PeerFrame notice : notices(evidence)) {
            byte[] bytes = PeerLink.encode(notice);
            for (PeerLink link : links.aliveLinks()) {
                if (informed.contains(link) && isAccepted(link, notice) && (toOtherRegions || link.isInOwnRegion())) {
                    link.send(notice, bytes);
                }
            }
        }
    }

    /** Returns the notices of evidence against requests and against prompt parts, if there is any. */
    private static List<PeerFrame> notices(List<CrashEvidence> evidence) {
        Map<Boolean, List<CrashEvidence>> byPart = evidence.stream()
                .collect(Collectors.partitioningBy(each -> each.partUse().isDefined()));
        List<PeerFrame> notices = new ArrayList<>();
        if (!byPart.get(false).isEmpty()) {
            notices.add(new PeerFrame.CrashNotice(byPart.get(false)));
        }
        if (!byPart.get(true).isEmpty()) {
            notices.add(new PeerFrame.PromptPartCrashNotice(byPart.get(true)));
        }
        return notices;
    }

    private static boolean isAccepted(PeerLink link, PeerFrame notice) {
        return notice instanceof PeerFrame.CrashNotice || link.state().supportsPromptPartNotices();
    }
}
