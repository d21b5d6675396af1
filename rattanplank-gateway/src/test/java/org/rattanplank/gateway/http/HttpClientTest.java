package org.rattanplank.gateway.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class HttpClientTest {
    private static final long TIMEOUT_MILLIS = 400;
    private static final int CHUNKS = 10;
    private static final long CHUNK_INTERVAL_MILLIS = 150;
    private static final int CHUNK_BYTES = 1_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void shutDownGroup() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Guards against a store that seems unreachable because a large response takes longer than the timeout over a slow
     * link.
     */
    @Test
    void shouldReceiveAResponseWhenItsBytesArriveForLongerThanTheTimeout() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Option<HttpClientResponse> response = send(server, CHUNKS);

            assertEquals(CHUNKS * CHUNK_BYTES, response.get().body().length);
        }
    }

    /** Guards against requests that wait for a response forever because their connection is unresponsive. */
    @Test
    void shouldFailARequestWhenNoBytesArriveForTheTimeout() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertTrue(send(server, CHUNKS / 2).isEmpty());
        }
    }

    private Option<HttpClientResponse> send(ServerSocket server, int chunks) throws Exception {
        Thread responder = new Thread(() -> respond(server, chunks));
        responder.setDaemon(true);
        responder.start();
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        HttpClient client = new HttpClient(group, (InetSocketAddress) server.getLocalSocketAddress());
        group.next().execute(() -> client.send(HttpClientRequest.get("/", TIMEOUT_MILLIS), response::complete));
        return response.get();
    }

    /** Sends the headers of a response and some chunks of its body, and leaves the connection open. */
    private static void respond(ServerSocket server, int chunks) {
        try (Socket socket = server.accept()) {
            OutputStream out = socket.getOutputStream();
            String headers = "HTTP/1.1 200 OK\r\nContent-Length: " + CHUNKS * CHUNK_BYTES + "\r\n\r\n";
            out.write(headers.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < chunks; i++) {
                out.write(new byte[CHUNK_BYTES]);
                out.flush();
                Thread.sleep(CHUNK_INTERVAL_MILLIS);
            }
            socket.getInputStream().read();
        } catch (IOException | InterruptedException e) {
            // The client has closed the connection.
            Thread.currentThread().interrupt();
        }
    }
}
