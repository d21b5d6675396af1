package org.rattanplank.core.route;

/**
 * One target or host that was considered, for {@code explain}. Immutable and thread safe.
 *
 * @param peer the target or host
 * @param verdict why it was filtered out, or {@code eligible}
 * @param score its score in milliseconds of expected cost, lower is better; zero if it was filtered out
 */
public record Candidate(String peer, String verdict, double score) {}
