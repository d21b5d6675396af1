package org.rattanplank.daemon.caller;

import java.io.IOException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import org.tinylog.Logger;
import ratpack.func.Action;
import ratpack.impose.Impositions;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/** Ratpack's server with a gate before its connections. Thread safe. */
final class GatedServer extends DefaultRatpackServer {
    private static final int MAX_ADDRESS_BYTES = 26;
    private static final int NONE_WAITS = -1;

    private final ConnectionGate gate;
    private volatile boolean portClosed;

    GatedServer(Action<? super RatpackServerSpec> definition, ConnectionGate gate) throws Exception {
        super(definition, Impositions.current());
        this.gate = gate;
    }

    /**
     * Takes no more connections; those that are open stay.
     *
     * <p>The kernel resets connections that wait to be accepted when the port closes. One would notice a caller that gets
     * no byte, and cannot tell whether its request ran. So the last ones are accepted in the very step that closes.
     */
    void stopAccepting() {
        channel.eventLoop().execute(() -> {
            if (channel instanceof EpollServerSocketChannel epoll) {
                acceptWaiting(epoll);
            }
            channel.close().addListener(closed -> portClosed = true);
        });
    }

    boolean isPortClosed() {
        return portClosed;
    }

    private static void acceptWaiting(EpollServerSocketChannel open) {
        Socket listening = new Socket(open.fd().intValue());
        byte[] address = new byte[MAX_ADDRESS_BYTES];
        try {
            int accepted = listening.accept(address);
            while (accepted != NONE_WAITS) {
                open.pipeline().fireChannelRead(new EpollSocketChannel(accepted));
                accepted = listening.accept(address);
            }
            open.pipeline().fireChannelReadComplete();
        } catch (IOException e) {
            Logger.warn(e, "caller: the last connections could not be accepted");
        }
    }

    @Override
    protected Channel buildChannel(ServerConfig config, ChannelHandler handler) throws InterruptedException {
        Channel open = super.buildChannel(config, handler);
        // A handler that another thread adds takes effect only later: connections that came meanwhile would pass by the
        // gate, unbounded and uncounted. Waiting for the event loop keeps that time before the port is announced.
        open.eventLoop().submit(() -> open.pipeline().addFirst(gate)).sync();
        return open;
    }
}
