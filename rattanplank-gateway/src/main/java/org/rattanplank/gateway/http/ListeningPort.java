package org.rattanplank.gateway.http;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Closes a listening port so that no connection is reset that the kernel has accepted.
 *
 * <p>When a listening socket closes, the kernel resets the connections in its accept queue. The queue is therefore
 * emptied in the event loop task that closes the socket. A socket that is registered with a selector stays open, and
 * its queue is filled further, until the selector selects next; the port is therefore deregistered first. Stateless and
 * thread safe.
 */
public final class ListeningPort {
    private static final long DEREGISTRATION_CHECK_MILLIS = 1;

    private ListeningPort() {}

    /**
     * Accepts the pending connections and closes the port.
     *
     * @param port the NIO server channel
     * @param acceptedConnections returns the number of connections accepted so far; called on the event loop
     */
    public static void close(Channel port, LongSupplier acceptedConnections) {
        AbstractNioChannel.NioUnsafe socket = (AbstractNioChannel.NioUnsafe) port.unsafe();
        port.deregister().addListener(deregistered -> closeOnceDeregistered(port, socket, acceptedConnections));
    }

    private static void closeOnceDeregistered(
            Channel port, AbstractNioChannel.NioUnsafe socket, LongSupplier acceptedConnections) {
        if (socket.ch().isRegistered()) {
            port.eventLoop()
                    .schedule(
                            () -> closeOnceDeregistered(port, socket, acceptedConnections),
                            DEREGISTRATION_CHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
            return;
        }
        acceptPending(port, acceptedConnections);
        port.close();
    }

    /** Reads until a read accepts nothing, as each read accepts a limited number of connections. */
    private static void acceptPending(Channel port, LongSupplier acceptedConnections) {
        long previouslyAccepted;
        do {
            previouslyAccepted = acceptedConnections.getAsLong();
            PendingInput.read(port);
        } while (acceptedConnections.getAsLong() > previouslyAccepted);
    }
}
