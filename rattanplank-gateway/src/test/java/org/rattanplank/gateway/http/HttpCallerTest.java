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
class HttpCallerTest {
    private static final long LIMIT_MILLIS = 400;
    private static final int PARTS = 10;
    private static final long PART_MILLIS = 150;
    private static final int PART_BYTES = 1_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void endGroup() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a store that seems lost because a large answer takes longer than the limit over a small link. */
    @Test
    void shouldTakeAnAnswerWhenItsBytesComeForLongerThanTheLimit() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Option<HttpReply> reply = call(server, PARTS);

            assertEquals(PARTS * PART_BYTES, reply.get().body().length);
        }
    }

    /** Guards against calls that wait for an answer whose connection has gone silent. */
    @Test
    void shouldEndACallWhenNoBytesComeForTheLimit() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertTrue(call(server, PARTS / 2).isEmpty());
        }
    }

    private Option<HttpReply> call(ServerSocket server, int parts) throws Exception {
        Thread answerer = new Thread(() -> answer(server, parts));
        answerer.setDaemon(true);
        answerer.start();
        CompletableFuture<Option<HttpReply>> reply = new CompletableFuture<>();
        HttpCaller caller = new HttpCaller(group, (InetSocketAddress) server.getLocalSocketAddress());
        group.next().execute(() -> caller.send(HttpCall.get("/", LIMIT_MILLIS), reply::complete));
        return reply.get();
    }

    /** Sends the head of an answer and some of its parts, and leaves the connection open. */
    private static void answer(ServerSocket server, int parts) {
        try (Socket socket = server.accept()) {
            OutputStream out = socket.getOutputStream();
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + PARTS * PART_BYTES + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < parts; i++) {
                out.write(new byte[PART_BYTES]);
                out.flush();
                Thread.sleep(PART_MILLIS);
            }
            socket.getInputStream().read();
        } catch (IOException | InterruptedException e) {
            // The caller has ended the connection.
            Thread.currentThread().interrupt();
        }
    }
}
