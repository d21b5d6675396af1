package org.rattanplank.daemon.target;

/**
 * One server-sent event. Immutable and thread safe as long as nobody writes into the bytes.
 *
 * @param number its {@code id}, or {@link #NO_NUMBER}
 * @param done whether it closes the stream
 * @param raw its bytes with the closing empty line
 */
record SseEvent(long number, boolean done, byte[] raw) {
    /** The number of an event without a sound {@code id}. */
    static final long NO_NUMBER = -1;

    /** The data of the event that closes a stream. */
    static final String DONE = "[DONE]";
}
