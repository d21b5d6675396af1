package org.rattanplank.daemon.http;

import io.netty.channel.Channel;

/** One HTTP request and its response on a dedicated connection. Thread safe. */
public final class Exchange {
    private final Channel channel;
    private final ExchangeHandler handler;

    Exchange(Channel channel, ExchangeHandler handler) {
        this.channel = channel;
        this.handler = handler;
    }

    /** Closes the connection; the listener is not called any more. */
    public void close() {
        handler.detach();
        channel.close();
    }
}
