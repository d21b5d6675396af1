package org.rattanplank.core.claim;

import java.util.List;

import org.rattanplank.schema.message.ViewJoin;
import org.rattanplank.schema.message.ViewSync;
import org.rattanplank.schema.message.ViewSynced;

/**
 * The joining host's side of the copying of claims.
 *
 * <p>Invariant: this host is ready for a view only while it holds every claim of the session in which it agreed; a new
 * session makes it unready. Not thread safe; guarded by the lock of {@link Claims}.
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

    /** Whether nobody has answered for some time, so that what this host knows may be out of date. */
    boolean isUnanswered() {
        return unansweredJoins >= MAX_UNANSWERED_JOINS;
    }

    /** Asks one member to be taken in, and another when that one does not answer. */
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
            // What this host held may be older than what the members hold, and they hold every claim that counts.
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
     * Agrees to a view if this host is in the session that the proposer means.
     *
     * @return whether this host is ready
     */
    boolean consent(String proposersSessionId, String changeId) {
        boolean ready = !sessionId.isEmpty() && sessionId.equals(proposersSessionId);
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
