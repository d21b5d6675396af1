package org.rattanplank.core.claim;

import java.util.List;

import org.rattanplank.schema.message.ViewJoin;
import org.rattanplank.schema.message.ViewSync;
import org.rattanplank.schema.message.ViewSynced;

/**
 * Receives copies of all claims while this host joins a view.
 *
 * <p>Invariant: this host is ready for a view only while it holds every claim of the session in which it consented; a
 * new session makes it not ready. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class SyncReceiver {
    private static final int MAX_UNANSWERED_JOINS = 4;

    private final ClaimTable table;
    private String sessionId = "";
    private long lastChunkNumber = -1;
    private String readyForChangeId = "";
    private int unansweredJoins;
    private int contactIndex;

    SyncReceiver(ClaimTable table) {
        this.table = table;
    }

    SyncReceiver copy(ClaimTable copiedTable) {
        SyncReceiver copy = new SyncReceiver(copiedTable);
        copy.sessionId = sessionId;
        copy.lastChunkNumber = lastChunkNumber;
        copy.readyForChangeId = readyForChangeId;
        copy.unansweredJoins = unansweredJoins;
        copy.contactIndex = contactIndex;
        return copy;
    }

    /** Returns whether several join requests in a row were unanswered, so that the known view may be out of date. */
    boolean isUnanswered() {
        return unansweredJoins >= MAX_UNANSWERED_JOINS;
    }

    /** Sends a join request to one member, and to the next member when that one does not respond. */
    void requestJoin(List<ViewMemberId> members, ActionList out) {
        unansweredJoins++;
        if (unansweredJoins > MAX_UNANSWERED_JOINS) {
            contactIndex++;
            unansweredJoins = 1;
            sessionId = "";
        }
        out.send(members.get(contactIndex % members.size()).host(), new ViewJoin(sessionId));
    }

    void receive(String host, ViewSync message, ActionList out) {
        boolean starts = message.number() == 0 && !sessionId.equals(message.sessionId());
        if (starts) {
            // Claims held by this host may be older than those of the members, and the members hold every claim that
            // counts.
            table.clear();
            sessionId = message.sessionId();
            lastChunkNumber = -1;
            readyForChangeId = "";
        }
        if (!sessionId.equals(message.sessionId()) || message.number() > lastChunkNumber + 1) {
            return;
        }
        unansweredJoins = 0;
        if (message.number() == lastChunkNumber + 1) {
            message.claims().forEach(entry -> table.merge(ClaimEntryCodec.fromEntry(entry)));
            lastChunkNumber++;
        }
        out.send(host, new ViewSynced(sessionId, message.number()));
    }

    /**
     * Consents to a view if this host is in the session that the proposer refers to.
     *
     * @return whether this host is ready
     */
    boolean consent(String proposerSessionId, String changeId) {
        boolean ready = !sessionId.isEmpty() && sessionId.equals(proposerSessionId);
        readyForChangeId = ready ? changeId : readyForChangeId;
        return ready;
    }

    boolean isReadyFor(String changeId) {
        return readyForChangeId.equals(changeId);
    }

    void clearReady() {
        readyForChangeId = "";
    }

    String stateKey() {
        return sessionId + " " + lastChunkNumber + " " + readyForChangeId;
    }
}
