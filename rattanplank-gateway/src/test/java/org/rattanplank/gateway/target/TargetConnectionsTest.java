package org.rattanplank.gateway.target;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.Lazy;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.GatewayTarget;
import org.rattanplank.core.gateway.ServiceEstimate;
import org.rattanplank.core.gateway.TargetChoice;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.gateway.TargetIncarnation;
import org.rattanplank.core.gateway.TargetPool;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.gateway.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;

@Timeout(20)
class TargetConnectionsTest {
    private static final HeaderNames NAMES =
            new HeaderNames("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", Set.of());

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final TargetConnections connections = new TargetConnections(group, NAMES, MonotonicClock.ofProcess());
    private final BlockingQueue<AttemptFailure> failures = new LinkedBlockingQueue<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a request that reaches a target which has begun to leave while the connection to it was opened. */
    @Test
    void shouldSendNothingWhenTheTargetBeginsToLeaveWhileItsConnectionIsOpened() throws Exception {
        GatewayTarget target = target();
        TargetChoice choice = new TargetChoice(target, ServiceEstimate.NONE, 0, 1, Option.none());

        group.next().execute(() -> {
            connections.send(choice, call(), new FailureListener());
            target.markLeaving();
        });

        assertEquals(AttemptFailure.NOT_SENT, failures.poll(10, TimeUnit.SECONDS));
        try (Socket socket = server.accept()) {
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Guards against a request that reaches a target which has requested a pause while the connection to it was opened. */
    @Test
    void shouldSendNothingWhenTheTargetRequestsAPauseWhileItsConnectionIsOpened() throws Exception {
        GatewayTarget target = target();
        TargetChoice choice = new TargetChoice(target, ServiceEstimate.NONE, 0, 1, Option.none());

        group.next().execute(() -> {
            connections.send(choice, call(), new FailureListener());
            target.requestPause(Integer.MAX_VALUE, MonotonicClock.ofProcess().nowMillis());
        });

        assertEquals(AttemptFailure.NOT_SENT, failures.poll(10, TimeUnit.SECONDS));
        try (Socket socket = server.accept()) {
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    private GatewayTarget target() {
        TargetPool pool = TargetPool.of(Set.of("suva-hall"));
        String ip = server.getInetAddress().getHostAddress();
        pool.register(
                new TargetEntry(
                        new TargetIncarnation("t1", 0), "desk", ip, server.getLocalPort(), "suva-hall", 4, false, 0),
                0);
        return pool.find("t1").get();
    }

    private static TargetCall call() {
        GatewayRequest request = new GatewayRequest(
                "q1",
                "GET",
                "/a/x",
                "desk.example",
                new DefaultHttpHeaders(),
                new byte[0],
                Option.none(),
                Option.none(),
                Work.PLAIN,
                Option.none(),
                Option.none(),
                Option.none(),
                Lazy.of(() -> Fingerprint.parse("0".repeat(32))));
        return new TargetCall(request, Work.PLAIN, 5_000, "", false);
    }

    private final class FailureListener implements AttemptListener {
        @Override
        public void headersReceived(int status, HttpHeaders headers) {
            failures.add(AttemptFailure.UNKNOWN);
        }

        @Override
        public void contentReceived(ByteBuf bytes) {
            failures.add(AttemptFailure.UNKNOWN);
        }

        @Override
        public void completed() {
            failures.add(AttemptFailure.UNKNOWN);
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            failures.add(failure);
        }
    }
}
