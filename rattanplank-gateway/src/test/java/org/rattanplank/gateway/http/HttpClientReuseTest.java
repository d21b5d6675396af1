package org.rattanplank.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which bytes on a kept connection count as the response to a request; responses of the store carry no identifier. */
@Timeout(120)
class HttpClientReuseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long POLL_INTERVAL_NANOS = 100_000;
    private static final String BODY = "{\"revision\":9}";
    private static final String OWN = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\n\r\n{}";
    private static final int OWN_STATUS = 412;
    private static final String LENGTH_LAST =
            "HTTP/1.1 200 OK\r\nStore-Era: 7\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    private static final String LENGTH_FIRST =
            "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\nStore-Era: 7\r\n\r\n" + BODY;
    private static final String SAME_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nStore-Era: 7\r\n\r\n{}";
    private static final String CHUNKS =
            "HTTP/1.1 200 Quite OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + BODY + "\r\n0\r\nStore-Era: 7\r\n\r\n";
    private static final String NO_BODY = "HTTP/1.1 204 No Content\r\nStore-Era: 7\r\n\r\n";
    private static final String CLOSE_DELIMITED_HEAD = "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<AutoCloseable> resources = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Answers the requests to a server; an exception closes the connection. */
    private interface Script {
        /**
         * Answers a request.
         *
         * @param number the number of the request, from 1
         * @param socket its connection
         */
        void answer(int number, Socket socket) throws IOException;
    }

    /** A server of one test and its client. */
    private final class Server implements AutoCloseable {
        private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicInteger requests = new AtomicInteger();
        private final Script script;
        private final HttpClient client;
        private volatile Socket newest;

        private Server(Script script) throws IOException {
            this.script = script;
            client = new HttpClient(group, (InetSocketAddress) listening.getLocalSocketAddress());
            start(this::accept);
        }

        private void accept() throws IOException {
            while (!listening.isClosed()) {
                Socket socket = listening.accept();
                connections.incrementAndGet();
                newest = socket;
                start(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                while (readHead(socket.getInputStream())) {
                    script.answer(requests.incrementAndGet(), socket);
                }
            }
        }

        /** Sends a request and waits for its response. */
        private Option<HttpClientResponse> send() throws Exception {
            CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
            group.next().execute(() -> client.send(request(), response::complete));
            return response.get();
        }

        /** Waits until the client has received that many bytes. */
        private void awaitReceived(long bytes) {
            while (client.traffic().receivedBytes() < bytes) {
                LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    private Server server(Script script) throws IOException {
        Server server = new Server(script);
        resources.add(server);
        return server;
    }

    private static HttpClientRequest request() {
        return HttpClientRequest.get("/", TIMEOUT_MILLIS);
    }

    private static boolean readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int each = in.read(); each >= 0; each = in.read()) {
            head.append((char) each);
            if (head.toString().endsWith("\r\n\r\n")) {
                return true;
            }
        }
        return false;
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The client or the test closed the connection.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private interface Work {
        void run() throws IOException;
    }

    private static int status(Option<HttpClientResponse> response) {
        return response.map(HttpClientResponse::status).getOrElse(0);
    }

    private static void checkOwnOrNone(Option<HttpClientResponse> response, String received) {
        assertTrue(List.of(0, OWN_STATUS).contains(status(response)), () -> status(response) + " of " + received);
    }

    /** Guards against a connection for each call, which costs the store and its callers a round trip. */
    @Test
    void shouldReuseAConnectionWhenNothingFollowsAResponse() throws Exception {
        Server server = server((number, socket) -> write(socket, LENGTH_LAST));

        server.send();
        server.send();

        assertEquals(2, server.requests.get());
        assertEquals(1, server.connections.get());
    }

    /** Guards against a late response, or a part of one, that is taken for the next call's or joined with it. */
    @Test
    void shouldNotReuseAConnectionWhenBytesArriveWhileItIsIdle() throws Exception {
        for (String late : List.of(LENGTH_LAST, LENGTH_FIRST, SAME_LENGTH, CHUNKS, NO_BODY, "\r\n")) {
            for (int bytes = 1; bytes <= late.length(); bytes++) {
                Server server = server((number, socket) -> write(socket, number == 1 ? LENGTH_LAST : OWN));
                server.send();
                write(server.newest, late.substring(0, bytes));
                server.awaitReceived(LENGTH_LAST.length() + bytes);

                assertEquals(OWN_STATUS, status(server.send()), late.substring(0, bytes));
                assertEquals(2, server.connections.get(), late.substring(0, bytes));
            }
        }
    }

    /** Guards against a late response that is taken for the next call's, as it arrived before that but was not read yet. */
    @Test
    void shouldNotReuseAConnectionWhenBytesHaveArrivedUnread() throws Exception {
        Server server = server((number, socket) -> write(socket, number == 1 ? LENGTH_LAST : OWN));
        server.send();
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket sending = new Socket(listening.getInetAddress(), listening.getLocalPort());
                Socket receiving = listening.accept()) {
            group.next().execute(() -> {
                try {
                    write(server.newest, LENGTH_LAST);
                    // What is sent after it has arrived, so it has arrived, too.
                    write(sending, "x");
                    receiving.getInputStream().read();
                    server.client.send(request(), response::complete);
                } catch (IOException e) {
                    response.completeExceptionally(e);
                }
            });

            assertEquals(OWN_STATUS, status(response.get()));
        }
    }

    /** Guards against calls that fail unsent, as their connection has ended but is still taken for idle. */
    @Test
    void shouldSendACallOnANewConnectionWhenTheIdleOneHasEndedUnread() throws Exception {
        Server server = server((number, socket) -> write(socket, number == 1 ? LENGTH_LAST : OWN));
        server.send();
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket sending = new Socket(listening.getInetAddress(), listening.getLocalPort());
                Socket receiving = listening.accept()) {
            group.next().execute(() -> {
                try {
                    server.newest.shutdownOutput();
                    write(sending, "x");
                    receiving.getInputStream().read();
                    server.client.send(request(), response::complete);
                } catch (IOException e) {
                    response.completeExceptionally(e);
                }
            });

            assertEquals(OWN_STATUS, status(response.get()));
        }
    }

    /** Guards against a late response that is taken for that of the call which follows at once. */
    @Test
    void shouldNotTakeTheRestOfAReadForTheNextCallWhenTwoResponsesArriveTogether() throws Exception {
        Server server = server((number, socket) -> write(socket, number == 1 ? LENGTH_LAST + NO_BODY : OWN));
        CompletableFuture<Option<HttpClientResponse>> first = new CompletableFuture<>();
        CompletableFuture<Option<HttpClientResponse>> second = new CompletableFuture<>();
        group.next()
                .execute(() -> server.client.send(request(), response -> {
                    first.complete(response);
                    server.client.send(request(), second::complete);
                }));

        assertEquals(OWN_STATUS, status(second.get()));
        assertEquals(0, status(first.get()));
    }

    /** Guards against the status of a late response with the headers and the body of the own one. */
    @Test
    void shouldNotReturnALateResponseWhenItStopsBeforeTheOwnOneInOneRead() throws Exception {
        for (String late : List.of(LENGTH_LAST, LENGTH_FIRST, SAME_LENGTH, CHUNKS, NO_BODY)) {
            for (int bytes = 0; bytes <= late.length(); bytes++) {
                String sent = late.substring(0, bytes) + OWN;
                Server server = server((number, socket) -> write(socket, number == 1 ? LENGTH_LAST : sent));
                server.send();

                checkOwnOrNone(server.send(), sent);
            }
        }
    }

    /** Guards against the same where the late part was read before the own response arrived. */
    @Test
    void shouldNotReturnALateResponseWhenItStopsBeforeTheOwnOneArrives() throws Exception {
        for (String late : List.of(LENGTH_LAST, LENGTH_FIRST, SAME_LENGTH, CHUNKS, NO_BODY, CLOSE_DELIMITED_HEAD)) {
            for (int bytes = 0; bytes < late.length(); bytes++) {
                String part = late.substring(0, bytes);
                CompletableFuture<Server> started = new CompletableFuture<>();
                Server server = server((number, socket) -> {
                    write(socket, number == 1 ? LENGTH_LAST : part);
                    if (number > 1) {
                        started.join().awaitReceived(LENGTH_LAST.length() + part.length());
                        write(socket, OWN);
                    }
                });
                started.complete(server);
                server.send();

                checkOwnOrNone(server.send(), part + "|" + OWN);
            }
        }
    }

    /** Guards against an informational response that is taken for the response, and that for the next call's. */
    @Test
    void shouldReturnTheFinalResponseWhenInformationalOnesComeBefore() throws Exception {
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        Server server = server((number, socket) -> write(socket, interim + (number == 1 ? OWN : LENGTH_LAST)));

        Option<HttpClientResponse> first = server.send();
        Option<HttpClientResponse> second = server.send();

        assertEquals(OWN_STATUS, status(first));
        assertEquals(BODY, new String(second.get().body(), StandardCharsets.US_ASCII));
        assertEquals(1, server.connections.get());
    }

    /** Guards against a success where the store stopped in the middle of its response. */
    @Test
    void shouldReturnNoResponseWhenTheOwnOneIsCut() throws Exception {
        for (String own : List.of(LENGTH_LAST, CHUNKS, NO_BODY, "HTTP/1.1 100 Continue\r\n\r\n" + LENGTH_LAST)) {
            for (int bytes = 0; bytes < own.length(); bytes++) {
                checkNoResponse(own.substring(0, bytes), false);
                checkNoResponse(own.substring(0, bytes), true);
            }
        }
        for (int bytes = 0; bytes < CLOSE_DELIMITED_HEAD.length(); bytes++) {
            checkNoResponse(CLOSE_DELIMITED_HEAD.substring(0, bytes), false);
            checkNoResponse(CLOSE_DELIMITED_HEAD.substring(0, bytes), true);
        }
    }

    /** Guards against a write that counts as acknowledged although its response ended before its body. */
    @Test
    void shouldReturnNoResponseWhenACloseDelimitedOneHasNoBody() throws Exception {
        checkNoResponse(CLOSE_DELIMITED_HEAD, false);
        checkNoResponse(CLOSE_DELIMITED_HEAD, true);
    }

    private void checkNoResponse(String sent, boolean reset) throws Exception {
        Server server = server((number, socket) -> {
            write(socket, sent);
            if (reset) {
                // Without lingering, a close resets the connection.
                socket.setSoLinger(true, 0);
            }
            throw new IOException("connection closed by the test");
        });

        assertEquals(0, status(server.send()), sent);
    }

    /** Guards against calls that fail unsent, as their connection has ended with the response before. */
    @Test
    void shouldSendTheNextCallOnANewConnectionWhenAResponseEndedItsOwn() throws Exception {
        Server server = server((number, socket) -> {
            write(socket, number == 1 ? CLOSE_DELIMITED_HEAD + BODY : OWN);
            throw new IOException("connection closed by the test");
        });
        CompletableFuture<Option<HttpClientResponse>> first = new CompletableFuture<>();
        CompletableFuture<Option<HttpClientResponse>> second = new CompletableFuture<>();
        group.next()
                .execute(() -> server.client.send(request(), response -> {
                    first.complete(response);
                    server.client.send(request(), second::complete);
                }));

        assertEquals(BODY, new String(first.get().get().body(), StandardCharsets.US_ASCII));
        assertEquals(OWN_STATUS, status(second.get()));
    }
}
