package org.rattanplank.daemon.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import ratpack.func.Action;
import ratpack.impose.Impositions;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/** Ratpack's server with a gate before its connections. Thread safe. */
final class GatedServer extends DefaultRatpackServer {
    private final ConnectionGate gate;

    GatedServer(Action<? super RatpackServerSpec> definition, ConnectionGate gate) throws Exception {
        super(definition, Impositions.current());
        this.gate = gate;
    }

    /** Takes no more connections; those that are open stay. */
    void stopAccepting() {
        channel.close();
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
