package org.rattanplank.daemon.target;

import java.util.Objects;

/**
 * The bounds of an attempt at a target. Immutable and thread safe.
 *
 * @param maxAnswerBytes the largest whole answer
 * @param maxPartBytes the largest part of a stream, which has to fit into one message to a peer
 * @param overdue when its connection is checked
 */
public record AttemptLimits(int maxAnswerBytes, int maxPartBytes, OverdueTimes overdue) {
    public AttemptLimits {
        Objects.requireNonNull(overdue, "overdue");
    }
}
