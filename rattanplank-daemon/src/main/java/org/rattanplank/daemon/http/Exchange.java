package org.rattanplank.daemon.http;

import io.netty.channel.Channel;

/** One call on a connection of its own. Thread safe. */
public final class Exchange {
    private final Channel channel;
    private final ExchangeHandler handler;

    Exchange(Channel channel, ExchangeHandler handler) {
        this.channel = channel;
        this.handler = handler;
    }

    /** Closes the connection; the listener hears nothing more. */
    public void close() {
        handler.silence();
        channel.close();
    }
}
