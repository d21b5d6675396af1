package org.rattanplank.daemon.http;

import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.rattanplank.gateway.http.ByteCountHandler;
import org.rattanplank.gateway.http.ChunkMerger;
import org.rattanplank.gateway.http.ReadLimit;
import org.rattanplank.gateway.http.ResponseDecoder;
import ratpack.util.internal.TransportDetector;

/**
 * Sends HTTP requests whose responses are processed incrementally, each on a dedicated connection.
 *
 * <p>Ratpack's client cannot be cancelled before the response headers arrive, and does not report whether a request was
 * written. This client therefore uses the HTTP codecs of Netty, which Ratpack depends on. Connections are not reused: an
 * unresponsive one affects one attempt only, and a late response cannot be mistaken for that of a later request. Thread
 * safe.
 */
public final class ExchangeClient {
    /** How long a check may take: the request whose connection ended waits for it. */
    private static final int CHECK_TIMEOUT_MILLIS = 200;

    private static final int MAX_STATUS_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final int connectTimeoutMillis;

    private ExchangeClient(int connectTimeoutMillis) {
        this.connectTimeoutMillis = connectTimeoutMillis;
    }

    /**
     * Creates a client.
     *
     * @param connectTimeoutMillis the timeout for establishing a connection
     * @return the client
     */
    public static ExchangeClient of(long connectTimeoutMillis) {
        return new ExchangeClient(Math.toIntExact(connectTimeoutMillis));
    }

    /**
     * Opens a connection and closes it again.
     *
     * @param loop the event loop that handles the connection
     * @param address the address
     * @param port the port
     * @return whether the connection was refused; a timeout is no refusal
     */
    public CompletableFuture<Boolean> isRefused(EventLoop loop, String address, int port) {
        CompletableFuture<Boolean> refused = new CompletableFuture<>();
        new Bootstrap()
                .group(loop)
                .channel(TransportDetector.getSocketChannelImpl())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CHECK_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address, port)
                .addListener((ChannelFutureListener) done -> {
                    done.channel().close();
                    refused.complete(!done.isSuccess() && !(done.cause() instanceof ConnectTimeoutException));
                });
        return refused;
    }

    /**
     * Connects and sends a request.
     *
     * @param loop the event loop that handles the connection
     * @param request the request
     * @param listener receives the response
     * @return the exchange, which can be closed
     */
    public Exchange start(EventLoop loop, ExchangeRequest request, ExchangeListener listener) {
        ExchangeHandler handler = new ExchangeHandler(request, listener);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(TransportDetector.getSocketChannelImpl())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.TARGET.allocator())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ByteCountHandler(count -> handler.bytesReceived(channel, count)))
                                .addLast(new HttpRequestEncoder())
                                .addLast(new ResponseDecoder(
                                        MAX_STATUS_LINE_BYTES,
                                        MAX_HEADER_BYTES,
                                        MAX_CHUNK_BYTES,
                                        request::isHeadRequest))
                                .addLast(new ChunkMerger())
                                .addLast(handler);
                    }
                })
                .connect(request.address(), request.port());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                handler.connectFailed(done.cause());
            }
        });
        return new Exchange(connecting.channel(), handler);
    }
}
