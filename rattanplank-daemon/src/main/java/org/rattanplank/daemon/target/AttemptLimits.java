package org.rattanplank.daemon.target;

import java.util.Objects;

import org.rattanplank.daemon.http.ResponseMemory;

/**
 * The limits of an attempt at a target. Immutable and thread safe.
 *
 * @param maxResponseBytes the maximum size of a buffered response
 * @param maxStreamEventBytes the maximum size of a stream event, which has to fit into one message to a peer
 * @param memory grants the memory for what is buffered, of all responses together
 * @param overdue when its connection is checked against a new one
 */
public record AttemptLimits(
        int maxResponseBytes, int maxStreamEventBytes, ResponseMemory memory, OverdueTimes overdue) {
    public AttemptLimits {
        Objects.requireNonNull(memory, "memory");
        Objects.requireNonNull(overdue, "overdue");
    }
}
