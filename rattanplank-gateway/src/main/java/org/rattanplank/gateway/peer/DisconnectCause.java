package org.rattanplank.gateway.peer;

/** Why another host is no longer connected. Immutable and thread safe. */
public enum DisconnectCause {
    /** The other host told that its process ends. */
    LEFT("host left", false),
    /** The connection was closed: the other host has ended, or has not heard of this one. */
    CLOSED("connection closed", true),
    /** The connection failed. */
    FAILED("connection failed", true),
    /** This host closed the connection on which it received a frame that it can't read. */
    UNREADABLE("frame decoding failed", true),
    /** Nothing was received for too long: the other host has ended or is cut off. */
    SILENT("no data received in time", true);

    private final String text;
    private final boolean mayBeAlive;

    DisconnectCause(String text, boolean mayBeAlive) {
        this.text = text;
        this.mayBeAlive = mayBeAlive;
    }

    /**
     * Returns the cause for logs.
     *
     * @return a short text
     */
    public String text() {
        return text;
    }

    /**
     * Returns whether the other host may still serve callers.
     *
     * @return whether it may
     */
    public boolean mayBeAlive() {
        return mayBeAlive;
    }
}
