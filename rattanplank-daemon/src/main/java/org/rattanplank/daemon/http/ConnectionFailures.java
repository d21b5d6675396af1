package org.rattanplank.daemon.http;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;

/** Describes connection errors in short texts without addresses. Stateless and thread safe. */
public final class ConnectionFailures {
    private static final String REFUSED_MESSAGE = "refused";

    private ConnectionFailures() {}

    /**
     * Returns whether a connection was refused, which shows that no process listens on the address.
     *
     * @param error the connection error
     * @return whether it was refused; a timeout does not count as refused
     */
    public static boolean isRefused(Throwable error) {
        return error instanceof ConnectException
                && !(error instanceof ConnectTimeoutException)
                && String.valueOf(error.getMessage()).contains(REFUSED_MESSAGE);
    }

    /**
     * Describes a connection error.
     *
     * @param error the connection error
     * @return a short description
     */
    public static String reasonOf(Throwable error) {
        if (isRefused(error)) {
            return "connection refused";
        }
        return error instanceof ConnectException ? "cannot connect" : "connection failed";
    }
}
