package org.rattanplank.core.route;

/**
 * A target or region that the router considered, as {@code explain} shows it. Immutable and thread safe.
 *
 * @param peer the name of the target or region
 * @param verdict why it was excluded, or {@code eligible}
 * @param score its estimated cost in milliseconds, lower is better; zero if it was excluded
 */
public record Candidate(String peer, String verdict, double score) {}
