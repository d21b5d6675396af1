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
 * Keeps calls that may not be repeated from running twice.
 *
 * <p>Invariant: of all requests with one key, at most one is told to run unless its call surely did not run. A host
 * acts only in a view that it shares with all other members; see docs/AT-MOST-ONCE.md. Thread safe; one lock guards all
 * state, and no other lock is taken while it is held.
 */
public final class Claims {
    private final ReentrantLock lock = new ReentrantLock();
    private final RequestIdQualifier requestIdQualifier;
    private final ClaimLimits limits;
    private final ClaimTable table;
    private final ViewManager viewManager;
    private final ClaimCoordinator coordinator;
    private boolean leaveTimedOut;

    private Claims(RequestIdQualifier opener, ClaimLimits limits, ClaimTable table, ViewManager keeper, ClaimCoordinator desk) {
        this.requestIdQualifier = opener;
        this.limits = limits;
        this.table = table;
        this.viewManager = keeper;
        this.coordinator = desk;
    }

    /**
     * Makes the claims of a host that holds none.
     *
     * @param self the host
     * @return the claims
     */
    public static Claims of(NodeIdentity self) {
        return of(self, ClaimLimits.defaults());
    }

    /**
     * Makes the claims of a host that holds none.
     *
     * @param self the host
     * @param limits the bounds on time and memory
     * @return the claims
     */
    public static Claims of(NodeIdentity self, ClaimLimits limits) {
        return of(self, limits, TakeoverRule.SURVIVOR_REQUIRED);
    }

    static Claims of(NodeIdentity self, ClaimLimits limits, TakeoverRule rule) {
        ClaimTable table = new ClaimTable(limits);
        ViewManager keeper = new ViewManager(self, limits, rule, table);
        return new Claims(RequestIdQualifier.of(self), limits, table, keeper, new ClaimCoordinator(keeper, table, limits));
    }

    Claims copy() {
        lock.lock();
        try {
            ClaimTable copiedTable = table.copy();
            ViewManager copiedKeeper = viewManager.copy(copiedTable);
            ClaimCoordinator copiedDesk = coordinator.copy(copiedKeeper, copiedTable);
            Claims copy = new Claims(requestIdQualifier, limits, copiedTable, copiedKeeper, copiedDesk);
            copy.leaveTimedOut = leaveTimedOut;
            return copy;
        } finally {
            lock.unlock();
        }
    }

    /** All that decides what this host does next, but for the time; equal texts mean equal futures. */
    String stateKey() {
        lock.lock();
        try {
            return viewManager.stateKey() + " | " + coordinator.stateKey();
        } finally {
            lock.unlock();
        }
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
        return apply(nowMillis, out -> coordinator.open(key, requestIdQualifier.qualify(requestId), nowMillis, out));
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
        return apply(nowMillis, out -> coordinator.settle(key, requestIdQualifier.qualify(requestId), result, nowMillis, out));
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
        lock.lock();
        try {
            return coordinator.abandon(key, requestIdQualifier.qualify(requestId), nowMillis);
        } finally {
            lock.unlock();
        }
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
        return apply(nowMillis, out -> {
            viewManager.messageReceived(host, incarnation);
            dispatch(host, incarnation, message, nowMillis, out);
        });
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
        return apply(nowMillis, out -> viewManager.storeReplied(callId, reply, nowMillis, out));
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
        return apply(nowMillis, out -> viewManager.storeChanged(entries, nowMillis));
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
        return apply(nowMillis, out -> viewManager.connected(host, incarnation));
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
        return apply(nowMillis, out -> viewManager.disconnected(host, refused, nowMillis));
    }

    /**
     * Takes the platform's list of hosts.
     *
     * @param list the list
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> listed(HostList list, long nowMillis) {
        return apply(nowMillis, out -> viewManager.hostListUpdated(list, nowMillis));
    }

    /**
     * Begins to leave the view; {@link #hasLeft()} tells when that is done.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> leave(long nowMillis) {
        return apply(nowMillis, out -> viewManager.leave(nowMillis));
    }

    /**
     * Tells whether this host no longer holds claims that others need.
     *
     * @return whether it may stop
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
     * Tells whether this host can claim now.
     *
     * @return the number of the view that it is in, or zero
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
     * Lets time pass.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimStep> tick(long nowMillis) {
        return apply(nowMillis, out -> {
            viewManager.tick(coordinator.areResultsAcknowledged(), nowMillis, out);
            coordinator.followView(nowMillis, out);
            coordinator.tick(nowMillis, out);
            leaveTimedOut = leaveTimedOut || viewManager.hasBeenLeavingFor(limits.leaveTimeoutMillis(), nowMillis);
        });
    }

    private List<ClaimStep> apply(long nowMillis, Consumer<ActionList> change) {
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
