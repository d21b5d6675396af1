package org.rattanplank.daemon.peer;

/** Hears what became of one message, once, on the link's event loop. */
interface SendListener {
    /** Nobody cares: a lost message is made up for by a later one. */
    SendListener NOBODY = new SendListener() {
        @Override
        public void handedOver() {}

        @Override
        public void refused(String reason) {}
    };

    /** The message is about to be handed to the transport; from now on it may arrive. */
    void handedOver();

    /**
     * The message was not handed to the transport and never will be.
     *
     * @param reason a short sentence
     */
    void refused(String reason);
}
