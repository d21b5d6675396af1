package org.rattanplank.daemon.peer;

/**
 * The sizes of links. Immutable and thread safe.
 *
 * @param maxFrameBytes the largest message
 * @param sendQueueBytes how much may wait to be sent on one link
 * @param maxConnections how many connections other hosts may open here
 */
public record PeerSizes(int maxFrameBytes, int sendQueueBytes, int maxConnections) {}
