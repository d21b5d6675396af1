package org.rattanplank.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import ratpack.util.internal.TransportDetector;

/**
 * Makes calls whose answers are watched as they come, each on a connection of its own.
 *
 * <p>Ratpack's client cannot be stopped before the answer's head is there, and does not tell whether a request was
 * written; so these calls use the HTTP codec of the Netty that Ratpack brings. A connection is not used twice: one that
 * went silent harms one attempt only, and no late answer of an earlier call can be taken for that of the next. Thread
 * safe.
 */
public final class Exchanges {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final int connectTimeoutMillis;

    private Exchanges(int connectTimeoutMillis) {
        this.connectTimeoutMillis = connectTimeoutMillis;
    }

    /**
     * Makes a starter of exchanges.
     *
     * @param connectTimeoutMillis when connecting is given up
     * @return the starter
     */
    public static Exchanges of(long connectTimeoutMillis) {
        return new Exchanges(Math.toIntExact(connectTimeoutMillis));
    }

    /**
     * Begins a call.
     *
     * @param loop the event loop on which everything about it happens
     * @param call the call
     * @param listener hears how it goes
     * @return the exchange, by which it can be closed
     */
    public Exchange start(EventLoop loop, ExchangeCall call, ExchangeListener listener) {
        ExchangeHandler handler = new ExchangeHandler(call, listener);
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(TransportDetector.getSocketChannelImpl())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(handler);
                    }
                })
                .connect(call.address(), call.port());
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                handler.notConnected(done.cause());
            }
        });
        return new Exchange(connected.channel(), handler);
    }
}
