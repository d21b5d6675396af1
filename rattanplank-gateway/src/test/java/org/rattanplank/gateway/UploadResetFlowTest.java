package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A target answers an upload that it hasn't read, without a length. Guards against a part of the answer that is passed
 * on as a complete one when the connection is reset, and against a whole one that is refused.
 */
@Timeout(120)
class UploadResetFlowTest {
    /** More than the sockets of a connection buffer. */
    private static final int UPLOAD_BYTES = 4 << 20;

    /** Less than they buffer, but more than the target reads. */
    private static final int BUFFERED_UPLOAD_BYTES = 64 << 10;

    private static final int REPETITIONS = 10;
    private static final long PAUSE_NANOS = 20_000_000;
    private static final String PART = "id: 1\ndata: a\n\n";

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final AtomicInteger arrivals = new AtomicInteger();
    private int requests;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    /** What a target does with an upload of which it has read the head, before it resets the connection. */
    private enum Answer {
        RESET_AT_ONCE {
            @Override
            void send(Socket socket, String head) throws IOException {
                TestTarget.write(socket.getOutputStream(), head + PART);
            }
        },
        RESET_LATER {
            @Override
            void send(Socket socket, String head) throws IOException {
                TestTarget.write(socket.getOutputStream(), head + PART);
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        },
        RESET_BETWEEN_PARTS {
            @Override
            void send(Socket socket, String head) throws IOException {
                TestTarget.write(socket.getOutputStream(), head);
                LockSupport.parkNanos(PAUSE_NANOS);
                TestTarget.write(socket.getOutputStream(), PART);
            }
        },
        RESET_WHILE_READING {
            @Override
            void send(Socket socket, String head) throws IOException {
                TestTarget.write(socket.getOutputStream(), head + PART);
                socket.getInputStream().readNBytes(BUFFERED_UPLOAD_BYTES / 4);
            }
        },
        RESET_WITHOUT_BODY {
            @Override
            void send(Socket socket, String head) throws IOException {
                TestTarget.write(socket.getOutputStream(), head);
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        };

        /**
         * Sends a part of an answer.
         *
         * @param socket the connection
         * @param head the head of the answer
         */
        abstract void send(Socket socket, String head) throws IOException;

        /** Sends a part of an answer without a length, and resets the connection. */
        void sendAndReset(String request, Socket socket, String contentType) throws IOException {
            send(socket, TestTarget.closeDelimitedHead(request, contentType));
            throw new TestTarget.ResetException();
        }
    }

    private void addTarget(TestGateway gateway, TestTarget.UploadScript script) throws IOException {
        TestTarget target = TestTarget.readingHeads((request, socket) -> {
            arrivals.incrementAndGet();
            script.serve(request, socket);
        });
        resources.add(target);
        gateway.registerTarget(new TargetIncarnation("t", 0), target.port());
        gateway.awaitTargets(1);
    }

    private TestGateway gateway(String name, String region, RouteKind kind) throws IOException {
        TestGateway gateway = new TestGateway(name, region);
        resources.add(gateway);
        return gateway.withMaxBodyBytes(UPLOAD_BYTES).configure(kind, false, 1);
    }

    private String send(TestGateway gateway, int bytes) throws IOException {
        try (TestCaller caller = gateway.caller()) {
            caller.send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nRequest-Id: q" + ++requests
                    + "\r\nTokens: 100,50\r\nTime-Left: 10000\r\nContent-Length: " + bytes + "\r\n\r\n"
                    + "x".repeat(bytes));
            return caller.readAll();
        }
    }

    private void checkNeverComplete(TestGateway gateway) throws IOException {
        for (int i = 0; i < REPETITIONS; i++) {
            for (int bytes : List.of(UPLOAD_BYTES, BUFFERED_UPLOAD_BYTES)) {
                int before = arrivals.get();
                String received = send(gateway, bytes);
                boolean failed = received.startsWith("HTTP/1.1 502 ");
                assertTrue(failed || !TestResponse.parse(received).complete(), received);
                assertEquals(before + 1, arrivals.get());
            }
        }
    }

    /** Guards against a part of a plain answer that counts as complete. */
    @ParameterizedTest
    @EnumSource(Answer.class)
    void shouldNotCompleteAResponseWhenTheUploadIsReset(Answer answer) throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.UNSAFE);
        addTarget(gateway, (request, socket) -> answer.sendAndReset(request, socket, "text/plain"));

        checkNeverComplete(gateway);
    }

    /** Guards against a part of a stream that counts as complete, as it ends between two events. */
    @ParameterizedTest
    @EnumSource(Answer.class)
    void shouldNotCompleteAStreamWhenTheUploadIsReset(Answer answer) throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.STREAM);
        addTarget(gateway, (request, socket) -> answer.sendAndReset(request, socket, TestTarget.EVENT_STREAM));

        checkNeverComplete(gateway);
    }

    /** Guards against a forwarded part that counts as complete. */
    @ParameterizedTest
    @EnumSource(Answer.class)
    void shouldNotCompleteAForwardedResponseWhenTheUploadIsReset(Answer answer) throws Exception {
        TestGateway entry = gateway("h1", "suva", RouteKind.UNSAFE);
        TestGateway serving = gateway("h2", "labasa", RouteKind.UNSAFE);
        entry.connect(serving);
        addTarget(serving, (request, socket) -> {
            if (!TestTarget.header(request, "content-length").equals("1")) {
                answer.sendAndReset(request, socket, "text/plain");
            }
            TestTarget.write(socket.getOutputStream(), TestTarget.closeDelimitedHead(request, "text/plain") + PART);
            throw new IOException("connection closed by the test");
        });
        entry.awaitServed(() -> send(entry, 1).startsWith("HTTP/1.1 200 "));

        checkNeverComplete(entry);
    }

    /** Guards against a whole answer that is refused, as it comes before its target has read the upload. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 15\r\n\r\n" + PART,
                "Transfer-Encoding: chunked\r\n\r\nf\r\n" + PART + "\r\n0\r\n\r\n"
            })
    void shouldPassOnAWholeResponseWhenItComesBeforeTheUploadIsRead(String delimited) throws Exception {
        TestGateway gateway = gateway("h1", "suva", RouteKind.UNSAFE);
        addTarget(gateway, (request, socket) -> {
            TestTarget.write(
                    socket.getOutputStream(),
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: " + TestTarget.header(request, "request-id")
                            + "\r\n" + delimited);
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        });

        for (int i = 0; i < REPETITIONS; i++) {
            TestResponse received = TestResponse.parse(send(gateway, UPLOAD_BYTES));
            assertEquals(new TestResponse("200", true, PART), received);
        }
        assertEquals(REPETITIONS, arrivals.get());
    }
}
