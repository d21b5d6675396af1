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
final class SyncCopy {
    private static final int QUIET_JOINS = 4;

    private final ClaimTable table;
    private String sessionId = "";
    private long number = -1;
    private String readyFor = "";
    private int joinsSinceHeard;
    private int contact;

    SyncCopy(ClaimTable table) {
        this.table = table;
    }

    SyncCopy copy(ClaimTable copiedTable) {
        SyncCopy copy = new SyncCopy(copiedTable);
        copy.sessionId = sessionId;
        copy.number = number;
        copy.readyFor = readyFor;
        copy.joinsSinceHeard = joinsSinceHeard;
        copy.contact = contact;
        return copy;
    }

    /** Whether nobody has answered for some time, so that what this host knows may be out of date. */
    boolean isQuiet() {
        return joinsSinceHeard >= QUIET_JOINS;
    }

    /** Asks one member to be taken in, and another when that one does not answer. */
    void ask(List<ViewMemberId> members, StepList out) {
        joinsSinceHeard++;
        if (joinsSinceHeard > QUIET_JOINS) {
            contact++;
            joinsSinceHeard = 1;
            sessionId = "";
        }
        out.send(members.get(contact % members.size()).host(), new ViewJoin(sessionId));
    }

    void receive(String host, ViewSync message, StepList out) {
        boolean starts = message.number() == 0 && !sessionId.equals(message.sessionId());
        if (starts) {
            // What this host held may be older than what the members hold, and they hold every claim that counts.
            table.clear();
            sessionId = message.sessionId();
            number = -1;
            readyFor = "";
        }
        if (!sessionId.equals(message.sessionId()) || message.number() > number + 1) {
            return;
        }
        joinsSinceHeard = 0;
        if (message.number() == number + 1) {
            message.claims().forEach(entry -> table.merge(ClaimEntries.fromEntry(entry)));
            number++;
        }
        out.send(host, new ViewSynced(sessionId, message.number()));
    }

    /**
     * Agrees to a view if this host is in the session that the proposer means.
     *
     * @return whether this host is ready
     */
    boolean agree(String proposersSessionId, String changeId) {
        boolean ready = !sessionId.isEmpty() && sessionId.equals(proposersSessionId);
        readyFor = ready ? changeId : readyFor;
        return ready;
    }

    boolean isReadyFor(String changeId) {
        return readyFor.equals(changeId);
    }

    void unready() {
        readyFor = "";
    }

    String describe() {
        return sessionId + " " + number + " " + readyFor;
    }
}
