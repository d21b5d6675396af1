package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ClaimMessage;

/**
 * Keeps calls that may not be repeated from running twice.
 *
 * <p>Invariant: of all requests with one key, at most one is told to run unless its call surely did not run. Thread
 * safe; one lock guards all state, and no other lock is taken while it is held.
 */
public final class Claims {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<ClaimKey, Claim> claims = new HashMap<>();

    private Claims() {}

    /**
     * Makes the claims of a host that holds none.
     *
     * @param self the host
     * @return the claims
     */
    public static Claims of(NodeIdentity self) {
        return new Claims();
    }

    /**
     * Asks what a request with a key may do; the decision comes in these steps or in later ones.
     *
     * @param key the key
     * @param requestId the request
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> open(ClaimKey key, String requestId, long nowMillis) {
        lock.lock();
        try {
            Claim claim = claims.get(key);
            if (claim == null) {
                claims.put(key, new Claim());
                return List.of(new ClaimStep.Decide(requestId, key, new ClaimDecision.Run()));
            }
            if (claim.answer != null) {
                return List.of(new ClaimStep.Decide(requestId, key, new ClaimDecision.Kept(claim.answer)));
            }
            claim.waiting.add(requestId);
            return List.of();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records how the call of a request that was told to run has ended.
     *
     * @param key the key
     * @param requestId the request that ran it
     * @param result how it ended
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> settle(ClaimKey key, String requestId, ClaimResult result, long nowMillis) {
        lock.lock();
        try {
            Claim claim = claims.get(key);
            List<ClaimStep> steps = new ArrayList<>();
            if (claim != null && result instanceof ClaimResult.Answered answered) {
                claim.answer = answered.answer();
                claim.waiting.forEach(
                        id -> steps.add(new ClaimStep.Decide(id, key, new ClaimDecision.Kept(answered.answer()))));
                claim.waiting.clear();
            }
            return steps;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Gives up waiting for the decision on a request, because its deadline has passed.
     *
     * @param key the key
     * @param requestId the request that waits
     * @param nowMillis the time
     * @return not run if this request's key has surely not run, unknown otherwise; never run
     */
    public ClaimDecision abandon(ClaimKey key, String requestId, long nowMillis) {
        return new ClaimDecision.Unknown(Failure.of(Step.CLAIM, "", "the deadline passed while the key was claimed"));
    }

    /**
     * Takes a message of another host of the data centre.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param message the message
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> receive(String host, long incarnation, ClaimMessage message, long nowMillis) {
        return List.of();
    }

    /**
     * Takes the end of a call to the store.
     *
     * @param callId the call
     * @param reply its end
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return List.of();
    }

    /**
     * Takes changes of the view's record in the store.
     *
     * @param entries the entries that were written
     * @param revision the store's revision after them
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> storeChanged(List<StoreEntry> entries, long revision, long nowMillis) {
        return List.of();
    }

    /**
     * Takes note that a link to a host of the data centre is up.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> connected(String host, long incarnation, long nowMillis) {
        return List.of();
    }

    /**
     * Takes note that a link to a host of the data centre broke.
     *
     * @param host the other host
     * @param refused whether the host's address refused the connection, so that no process listens there
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> lost(String host, boolean refused, long nowMillis) {
        return List.of();
    }

    /**
     * Takes the platform's list of hosts.
     *
     * @param list the list
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> listed(HostList list, long nowMillis) {
        return List.of();
    }

    /**
     * Begins to leave the view; {@link #hasLeft()} tells when that is done.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> leave(long nowMillis) {
        return List.of();
    }

    /**
     * Tells whether this host no longer holds claims that others need.
     *
     * @return whether it may stop
     */
    public boolean hasLeft() {
        return true;
    }

    /**
     * Tells whether this host can claim now.
     *
     * @return the number of the view that it is in, or zero
     */
    public long viewNumber() {
        return 0;
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> tick(long nowMillis) {
        return List.of();
    }

    /** One key's claim; guarded by the lock. */
    private static final class Claim {
        private final List<String> waiting = new ArrayList<>();
        private Answer answer;
    }
}
