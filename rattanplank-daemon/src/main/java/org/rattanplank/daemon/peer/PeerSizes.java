package org.rattanplank.daemon.peer;

/**
 * The size limits of links. Immutable and thread safe.
 *
 * @param maxFrameBytes the maximum size of a message
 * @param sendQueueBytes the maximum size of the send queue of one link
 * @param maxConnections the maximum number of connections accepted from other hosts
 */
public record PeerSizes(int maxFrameBytes, int sendQueueBytes, int maxConnections) {}
