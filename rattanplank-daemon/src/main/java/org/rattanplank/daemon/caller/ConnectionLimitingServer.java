package org.rattanplank.daemon.caller;

import java.io.IOException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import org.rattanplank.gateway.http.ListeningPort;
import org.tinylog.Logger;
import ratpack.func.Action;
import ratpack.impose.Impositions;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/** Ratpack server that limits the connections it accepts. Thread safe. */
final class ConnectionLimitingServer extends DefaultRatpackServer {
    private static final int MAX_SOCKET_ADDRESS_BYTES = 26;
    private static final int NO_PENDING_CONNECTION = -1;

    private final ConnectionLimiter connectionLimiter;
    private volatile boolean portClosed;

    ConnectionLimitingServer(Action<? super RatpackServerSpec> definition, ConnectionLimiter connectionLimiter)
            throws Exception {
        super(definition, Impositions.current());
        this.connectionLimiter = connectionLimiter;
    }

    /**
     * Stops accepting connections; open connections are not affected.
     *
     * <p>When the port closes, the kernel resets connections that are still in the accept queue. Symptom: a caller gets
     * no response bytes and cannot tell whether its request ran. The queue is therefore emptied in the same event loop
     * task that closes the port.
     */
    void stopAccepting() {
        channel.closeFuture().addListener(done -> portClosed = true);
        if (channel instanceof EpollServerSocketChannel epoll) {
            channel.eventLoop().execute(() -> {
                acceptPending(epoll);
                channel.close();
            });
        } else {
            ListeningPort.close(channel, connectionLimiter::acceptedConnections);
        }
    }

    boolean isPortClosed() {
        return portClosed;
    }

    private static void acceptPending(EpollServerSocketChannel serverChannel) {
        Socket listeningSocket = new Socket(serverChannel.fd().intValue());
        byte[] address = new byte[MAX_SOCKET_ADDRESS_BYTES];
        try {
            int socketDescriptor = listeningSocket.accept(address);
            while (socketDescriptor != NO_PENDING_CONNECTION) {
                serverChannel.pipeline().fireChannelRead(new EpollSocketChannel(socketDescriptor));
                socketDescriptor = listeningSocket.accept(address);
            }
            serverChannel.pipeline().fireChannelReadComplete();
        } catch (IOException e) {
            Logger.warn(e, "caller: cannot accept the connections pending at the closing port");
        }
    }

    @Override
    protected Channel buildChannel(ServerConfig config, ChannelHandler handler) throws InterruptedException {
        Channel serverChannel = super.buildChannel(config, handler);
        // A handler added by another thread takes effect later, and connections accepted in between would be neither
        // limited nor counted. Waiting for the event loop installs the limiter before the port is announced.
        serverChannel
                .eventLoop()
                .submit(() -> serverChannel.pipeline().addFirst(connectionLimiter))
                .sync();
        return serverChannel;
    }
}
