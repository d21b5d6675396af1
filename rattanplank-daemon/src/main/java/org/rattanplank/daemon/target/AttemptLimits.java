package org.rattanplank.daemon.target;

import java.util.Objects;

/**
 * The bounds of an attempt at a target. Immutable and thread safe.
 *
 * @param maxAnswerBytes the largest whole answer, and the largest part of a stream
 * @param overdue when its connection is checked
 */
public record AttemptLimits(int maxAnswerBytes, OverdueTimes overdue) {
    public AttemptLimits {
        Objects.requireNonNull(overdue, "overdue");
    }
}
