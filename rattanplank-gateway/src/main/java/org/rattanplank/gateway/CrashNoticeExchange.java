package org.rattanplank.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

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
        List<CrashEvidence> evidence = quarantine.evidence();
        if (!evidence.isEmpty()) {
            link.send(new PeerFrame.CrashNotice(evidence));
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
        PeerFrame.CrashNotice notice = new PeerFrame.CrashNotice(evidence);
        byte[] bytes = PeerLink.encode(notice);
        for (PeerLink link : links.aliveLinks()) {
            if (informed.contains(link) && (toOtherRegions || link.isInOwnRegion())) {
                link.send(notice, bytes);
            }
        }
    }
}
