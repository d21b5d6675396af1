package org.rattanplank.daemon.caller;

/** Tells Ratpack that a stream's connection has to be closed, since its answer is not whole. Immutable. */
final class BrokenStreamException extends Exception {
    BrokenStreamException() {
        super("the stream broke", null, false, false);
    }
}
