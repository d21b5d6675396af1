package org.rattanplank.core.gateway;

import java.util.Objects;

/**
 * What is known of a target's process when it has to be decided whether a response that ended with its connection is
 * whole. Immutable and thread safe.
 *
 * <p>A process that ends closes its port and all its connections together. One that shuts down in order closes its port
 * first, ends its responses one by one, and then its last connection and itself, so that for its last response only an
 * idle connection and the time since its port was closed tell the two apart.
 *
 * @param port how the target's port answered a connection attempt some time after the end
 * @param portClosedMillis how long before the end its port was known to be closed, zero if it was not
 * @param requestsInProgress how many of this host's requests that were in progress there at the end still are
 * @param idleConnectionOpen whether an idle connection of this host to it is still open
 * @param interruptedTogether how many of this host's other requests lost their connection to it at the same moment
 */
public record TerminationEvidence(
        ConnectResult port,
        long portClosedMillis,
        int requestsInProgress,
        boolean idleConnectionOpen,
        int interruptedTogether) {
    public TerminationEvidence {
        Objects.requireNonNull(port, "port");
    }

    /**
     * Returns whether the process of the target ended with the response, which may therefore be cut.
     *
     * @return whether it did
     */
    public boolean isTermination() {
        if (port != ConnectResult.REFUSED || requestsInProgress > 0) {
            return false;
        }
        boolean closedInOrder = portClosedMillis >= TargetProcess.TERMINATION_MILLIS;
        return interruptedTogether > 0 || !closedInOrder && !idleConnectionOpen;
    }
}
