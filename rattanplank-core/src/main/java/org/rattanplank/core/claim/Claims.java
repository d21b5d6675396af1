package org.rattanplank.core.claim;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ClaimAsk;
import org.rattanplank.schema.message.ClaimCopied;
import org.rattanplank.schema.message.ClaimCopy;
import org.rattanplank.schema.message.ClaimGrant;
import org.rattanplank.schema.message.ClaimMessage;
import org.rattanplank.schema.message.ClaimOpen;
import org.rattanplank.schema.message.ClaimSettle;
import org.rattanplank.schema.message.ClaimSettled;
import org.rattanplank.schema.message.ViewAsk;
import org.rattanplank.schema.message.ViewConsent;
import org.rattanplank.schema.message.ViewInstall;
import org.rattanplank.schema.message.ViewInstalled;
import org.rattanplank.schema.message.ViewJoin;
import org.rattanplank.schema.message.ViewLeave;
import org.rattanplank.schema.message.ViewPropose;
import org.rattanplank.schema.message.ViewSync;
import org.rattanplank.schema.message.ViewSynced;
import org.rattanplank.schema.message.ViewWithdraw;

/**
 * Executes calls with an idempotency key at most once.
 *
 * <p>Invariant: of all requests with one key, at most one may run unless its call definitely did not run. A host is
 * active only in a view that it shares with all other members; see docs/AT-MOST-ONCE.md. Thread safe; one lock guards
 * all state, and no other lock is taken while it is held.
 */
public final class Claims {
    private final ReentrantLock lock = new ReentrantLock();
    private final RequestIdQualifier requestIdQualifier;
    private final ClaimLimits limits;
    private final ClaimTable table;
    private final ViewManager viewManager;
    private final ClaimCoordinator coordinator;
    private boolean leaveTimedOut;

    private Claims(
            RequestIdQualifier requestIdQualifier,
            ClaimLimits limits,
            ClaimTable table,
            ViewManager viewManager,
            ClaimCoordinator coordinator) {
        this.requestIdQualifier = requestIdQualifier;
        this.limits = limits;
        this.table = table;
        this.viewManager = viewManager;
        this.coordinator = coordinator;
    }

    /**
     * Creates an empty claim registry with default limits.
     *
     * @param self the identity of this process
     * @return the claims
     */
    public static Claims of(NodeIdentity self) {
        return of(self, ClaimLimits.defaults());
    }

    /**
     * Creates an empty claim registry.
     *
     * @param self the identity of this process
     * @param limits the bounds on time and memory
     * @return the claims
     */
    public static Claims of(NodeIdentity self, ClaimLimits limits) {
        return of(self, limits, TakeoverRule.SURVIVOR_REQUIRED);
    }

    static Claims of(NodeIdentity self, ClaimLimits limits, TakeoverRule takeoverRule) {
        ClaimTable table = new ClaimTable(limits);
        ViewManager viewManager = new ViewManager(self, limits, takeoverRule, table);
        return new Claims(
                RequestIdQualifier.of(self),
                limits,
                table,
                viewManager,
                new ClaimCoordinator(viewManager, table, limits));
    }

    Claims copy() {
        lock.lock();
        try {
            ClaimTable copiedTable = table.copy();
            ViewManager copiedViewManager = viewManager.copy(copiedTable);
            ClaimCoordinator copiedCoordinator = coordinator.copy(copiedViewManager, copiedTable);
            Claims copy = new Claims(requestIdQualifier, limits, copiedTable, copiedViewManager, copiedCoordinator);
            copy.leaveTimedOut = leaveTimedOut;
            return copy;
        } finally {
            lock.unlock();
        }
    }

    /** Returns all state that determines future behaviour, except times; equal keys imply equal behaviour. */
    String stateKey() {
        lock.lock();
        try {
            return viewManager.stateKey() + " | " + coordinator.stateKey();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Opens a request with an idempotency key; the decision is among the returned actions or among later ones.
     *
     * @param key the idempotency key
     * @param requestId the request
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> open(ClaimKey key, String requestId, long nowMillis) {
        return apply(nowMillis, out -> coordinator.open(key, requestIdQualifier.qualify(requestId), nowMillis, out));
    }

    /**
     * Records the result of the call of a request that was allowed to run.
     *
     * @param key the idempotency key
     * @param requestId the request that ran the call
     * @param result the result of the call
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> settle(ClaimKey key, String requestId, ClaimResult result, long nowMillis) {
        return apply(
                nowMillis,
                out -> coordinator.settle(key, requestIdQualifier.qualify(requestId), result, nowMillis, out));
    }

    /**
     * Abandons a request that waits for a decision, because its deadline has passed.
     *
     * @param key the idempotency key
     * @param requestId the waiting request
     * @param nowMillis the current time
     * @return not run if the call of the key definitely has not run for this request, unknown otherwise; never run
     */
    public ClaimDecision abandon(ClaimKey key, String requestId, long nowMillis) {
        lock.lock();
        try {
            return coordinator.abandon(key, requestIdQualifier.qualify(requestId), nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Handles a message from another host of the data centre.
     *
     * @param host the sender
     * @param incarnation the start time of the sending process
     * @param message the message
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> receive(String host, long incarnation, ClaimMessage message, long nowMillis) {
        return apply(nowMillis, out -> {
            viewManager.messageReceived(host, incarnation);
            dispatch(host, incarnation, message, nowMillis, out);
        });
    }

    /**
     * Handles the reply to a call to the store.
     *
     * @param callId the call
     * @param reply the reply
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return apply(nowMillis, out -> viewManager.storeReplied(callId, reply, nowMillis, out));
    }

    /**
     * Handles changes of the view record in the store.
     *
     * @param entries the entries that were written
     * @param revision the revision of the store after the changes
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> storeChanged(List<StoreEntry> entries, long revision, long nowMillis) {
        return apply(nowMillis, out -> viewManager.storeChanged(entries, nowMillis));
    }

    /**
     * Records that a connection to a host of the data centre is up.
     *
     * @param host the other host
     * @param incarnation the start time of the other process
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> connected(String host, long incarnation, long nowMillis) {
        return apply(nowMillis, out -> viewManager.connected(host, incarnation));
    }

    /**
     * Records that the connection to a host of the data centre was closed.
     *
     * @param host the other host
     * @param refused whether the address of the host refused the connection, so that no process listens there
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> disconnected(String host, boolean refused, long nowMillis) {
        return apply(nowMillis, out -> viewManager.disconnected(host, refused, nowMillis));
    }

    /**
     * Handles a new list of hosts from the platform.
     *
     * @param list the list
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> hostListUpdated(HostList list, long nowMillis) {
        return apply(nowMillis, out -> viewManager.hostListUpdated(list, nowMillis));
    }

    /**
     * Starts to leave the view; {@link #hasLeft()} returns true once that is complete.
     *
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> leave(long nowMillis) {
        return apply(nowMillis, out -> viewManager.leave(nowMillis));
    }

    /**
     * Returns whether this host no longer holds claims that other hosts need, or the time limit for leaving has passed.
     *
     * @return whether this process may stop
     */
    public boolean hasLeft() {
        lock.lock();
        try {
            return leaveTimedOut || (viewManager.hasLeft() && coordinator.areResultsAcknowledged());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of the view in which this host can claim now.
     *
     * @return the view number, or zero if this host is active in no view
     */
    public long viewNumber() {
        lock.lock();
        try {
            return viewManager.activeView().map(ClaimView::number).getOrElse(0L);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Advances time.
     *
     * @param nowMillis the current time
     * @return the actions to perform
     */
    public List<ClaimAction> tick(long nowMillis) {
        return apply(nowMillis, out -> {
            viewManager.tick(coordinator.areResultsAcknowledged(), nowMillis, out);
            coordinator.followView(nowMillis, out);
            coordinator.tick(nowMillis, out);
            leaveTimedOut = leaveTimedOut || viewManager.hasBeenLeavingFor(limits.leaveTimeoutMillis(), nowMillis);
        });
    }

    private List<ClaimAction> apply(long nowMillis, Consumer<ActionList> change) {
        lock.lock();
        try {
            ActionList out = new ActionList();
            viewManager.detectPause(nowMillis, out);
            change.accept(out);
            coordinator.followView(nowMillis, out);
            return requestIdQualifier.unqualifyAll(out.toList());
        } finally {
            lock.unlock();
        }
    }

    private void dispatch(String host, long incarnation, ClaimMessage message, long nowMillis, ActionList out) {
        if (message instanceof ClaimOpen open) {
            coordinator.receiveOpen(host, incarnation, open, nowMillis, out);
        } else if (message instanceof ClaimCopy copy) {
            coordinator.receiveCopy(host, incarnation, copy, out);
        } else if (message instanceof ClaimCopied copied) {
            coordinator.receiveCopied(host, incarnation, copied, nowMillis, out);
        } else if (message instanceof ClaimGrant grant) {
            coordinator.receiveGrant(grant, nowMillis, out);
        } else if (message instanceof ClaimSettle settle) {
            coordinator.receiveSettle(host, settle, nowMillis, out);
        } else if (message instanceof ClaimSettled settled) {
            coordinator.receiveSettled(host, settled);
        } else if (message instanceof ClaimAsk ask) {
            coordinator.receiveAsk(host, ask, nowMillis, out);
        } else {
            dispatchView(host, incarnation, message, nowMillis, out);
        }
    }

    private void dispatchView(String host, long incarnation, ClaimMessage message, long nowMillis, ActionList out) {
        if (message instanceof ViewInstall install) {
            viewManager.receiveInstall(host, install, nowMillis, out);
        } else if (message instanceof ViewInstalled installed) {
            viewManager.receiveInstalled(host, installed.viewNumber());
        } else if (message instanceof ViewAsk ask) {
            viewManager.receiveAsk(host, ask, out);
        } else if (message instanceof ViewPropose propose) {
            viewManager.receivePropose(host, incarnation, propose, out);
        } else if (message instanceof ViewConsent consent) {
            viewManager.receiveConsent(host, consent, nowMillis, out);
        } else if (message instanceof ViewWithdraw withdraw) {
            viewManager.receiveWithdraw(withdraw.changeId());
        } else if (message instanceof ViewLeave) {
            viewManager.receiveLeave(host, incarnation);
        } else if (message instanceof ViewJoin join) {
            viewManager.receiveJoin(host, incarnation, join, out);
        } else if (message instanceof ViewSync sync) {
            viewManager.receiveSync(host, sync, out);
        } else if (message instanceof ViewSynced synced) {
            viewManager.receiveSynced(host, synced, nowMillis, out);
        }
    }
}
