package org.rattanplank.daemon.target;

import java.util.Objects;

/**
 * The limits of an attempt at a target. Immutable and thread safe.
 *
 * @param maxResponseBytes the maximum size of a buffered response
 * @param maxStreamEventBytes the maximum size of a stream event, which has to fit into one message to a peer
 * @param overdue when its connection is checked against a new one
 */
public record AttemptLimits(int maxResponseBytes, int maxStreamEventBytes, OverdueTimes overdue) {
    public AttemptLimits {
        Objects.requireNonNull(overdue, "overdue");
    }
}
