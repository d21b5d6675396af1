package org.rattanplank.core.control;

import java.util.List;

import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.OrderResult;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.StoreReply;

/**
 * Brings the targets of a region to the state that the configuration wants, while this host holds the region's lease.
 *
 * <p>Invariant: no order leaves after the lease could have lapsed by this host's own clock. Thread safe; one lock
 * guards all state, and no other lock is taken while it is held.
 */
public final class Controller {
    private Controller() {}

    /**
     * Makes a controller that holds no lease.
     *
     * @param self the host
     * @return the controller
     */
    public static Controller of(NodeIdentity self) {
        return new Controller();
    }

    /**
     * Takes note of whether this host should try to hold the lease.
     *
     * @param isCandidate whether it is among the best hosts of its region
     */
    public void candidate(boolean isCandidate) {}

    /**
     * Takes a new configuration.
     *
     * @param configuration the configuration in force
     * @param nowMillis the time
     */
    public void configured(Configuration configuration, long nowMillis) {}

    /**
     * Takes the targets of the region.
     *
     * @param targets the targets that take work
     * @param nowMillis the time
     */
    public void targets(List<ListedHost> targets, long nowMillis) {}

    /**
     * Takes a target's report, which says what it has loaded.
     *
     * @param load the report
     * @param nowMillis the time
     */
    public void reported(TargetLoad load, long nowMillis) {}

    /**
     * Takes the end of a call to the store.
     *
     * @param callId the call
     * @param reply its end
     * @param nowMillis the time
     * @return what to do
     */
    public List<ControlStep> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return List.of();
    }

    /**
     * Takes a target's answer to an order.
     *
     * @param orderId the order
     * @param result how it ended
     * @param nowMillis the time
     * @return what to do
     */
    public List<ControlStep> answered(long orderId, OrderResult result, long nowMillis) {
        return List.of();
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ControlStep> tick(long nowMillis) {
        return List.of();
    }
}
