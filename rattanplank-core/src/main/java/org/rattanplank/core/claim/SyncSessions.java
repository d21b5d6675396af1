package org.rattanplank.core.claim;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.schema.message.ClaimEntry;
import org.rattanplank.schema.message.ViewSync;
import org.rattanplank.schema.message.ViewSynced;

/**
 * Copies claims to all hosts that join through this host, with at most one session per host. Not thread safe; guarded
 * by the lock of {@link Claims}.
 */
final class SyncSessions {
    private final ClaimTable table;
    private final PeerReachability reachability;
    private final long resendMillis;
    private final Map<String, SyncSession> sessions = new TreeMap<>();

    SyncSessions(ClaimTable table, PeerReachability links, long resendMillis) {
        this.table = table;
        this.reachability = links;
        this.resendMillis = resendMillis;
    }

    SyncSessions copy(ClaimTable copiedTable, PeerReachability copiedLinks) {
        SyncSessions copy = new SyncSessions(copiedTable, copiedLinks, resendMillis);
        sessions.forEach((host, session) -> copy.sessions.put(host, session.copy()));
        return copy;
    }

    Option<SyncSession> find(String host) {
        return Option.of(sessions.get(host));
    }

    /** Returns the reachable joining hosts that hold every claim of this host. */
    List<ViewMemberId> cleanJoiners() {
        return sessions.values().stream()
                .filter(SyncSession::isClean)
                .map(SyncSession::joiner)
                .filter(reachability::isReachable)
                .toList();
    }

    void claimChanged(ClaimKey key) {
        sessions.values().forEach(session -> session.markDirty(key));
    }

    /** Starts a session, unless one with the same process is running and that process follows it. */
    void startIfNeeded(String newId, ViewMemberId joiner, String joinerSessionId) {
        Option<SyncSession> running =
                find(joiner.host()).filter(session -> session.joiner().equals(joiner));
        boolean outOfSync =
                running.exists(session -> session.hasStarted() && !session.id().equals(joinerSessionId));
        if (running.isEmpty() || outOfSync) {
            sessions.put(joiner.host(), new SyncSession(newId, joiner, table.all()));
        }
    }

    void end(String host) {
        sessions.remove(host);
    }

    void endForMembers(ClaimView view) {
        sessions.keySet().removeIf(host -> view.memberOn(host).isDefined());
    }

    void endAll() {
        sessions.clear();
    }

    void acknowledged(String host, ViewSynced message) {
        find(host).forEach(session -> session.acknowledge(message.sessionId(), message.number()));
    }

    /** Sends every chunk that is due. */
    void sendDueChunks(long nowMillis, ActionList out) {
        sessions.values().removeIf(session -> !reachability.isReachable(session.joiner()));
        for (SyncSession session : sessions.values()) {
            if (session.isDue(resendMillis, nowMillis)) {
                sendChunk(session, nowMillis, out);
            }
        }
    }

    private void sendChunk(SyncSession session, long nowMillis, ActionList out) {
        session.prepareChunk(nowMillis);
        List<ClaimEntry> claims = session.chunkKeys().stream()
                .flatMap(key -> table.find(key).toJavaStream())
                .map(ClaimEntryCodec::toEntry)
                .toList();
        out.send(session.joiner().host(), new ViewSync(session.id(), session.chunkNumber(), claims));
    }

    String stateKey() {
        return sessions.values().stream().map(SyncSession::stateKey).toList().toString();
    }
}
