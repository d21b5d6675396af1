package org.rattanplank.daemon.peer;

/** Receives the result of sending one message, once, on the link's event loop. */
interface SendListener {
    /** Ignores the result; for messages whose loss is compensated by a later one. */
    SendListener IGNORE = new SendListener() {
        @Override
        public void writeStarted() {}

        @Override
        public void rejected(String reason) {}
    };

    /** Called just before the message is written to the transport; from now on it may be delivered. */
    void writeStarted();

    /**
     * Called when the message has not been written to the transport and never will be.
     *
     * @param reason the reason, as a short sentence
     */
    void rejected(String reason);
}
