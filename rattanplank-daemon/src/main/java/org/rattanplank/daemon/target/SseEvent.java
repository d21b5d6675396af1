package org.rattanplank.daemon.target;

/**
 * One server-sent event. Immutable and thread safe as long as the byte array is not modified.
 *
 * @param number its {@code id}, or {@link #NO_NUMBER}
 * @param done whether it is the closing event of the stream
 * @param raw its bytes including the terminating empty line
 */
record SseEvent(long number, boolean done, byte[] raw) {
    /** The number of an event without a valid {@code id}. */
    static final long NO_NUMBER = -1;

    /** The data of the closing event of a stream. */
    static final String DONE = "[DONE]";
}
