package org.rattanplank.daemon.http;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;

/** Turns what went wrong on a connection into a short sentence without addresses. Stateless and thread safe. */
public final class Failures {
    private static final String REFUSED = "refused";

    private Failures() {}

    /**
     * Tells whether a connection was refused, so that no process listens at the address.
     *
     * @param error what went wrong
     * @return whether it was refused; a timeout is no refusal
     */
    public static boolean isRefused(Throwable error) {
        return error instanceof ConnectException
                && !(error instanceof ConnectTimeoutException)
                && String.valueOf(error.getMessage()).contains(REFUSED);
    }

    /**
     * Puts what went wrong into words.
     *
     * @param error what went wrong
     * @return a short sentence
     */
    public static String reasonOf(Throwable error) {
        if (isRefused(error)) {
            return "the connection was refused";
        }
        return error instanceof ConnectException ? "the connection could not be made" : "the connection broke";
    }
}
