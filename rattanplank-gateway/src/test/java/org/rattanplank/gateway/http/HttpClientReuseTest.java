package org.rattanplank.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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

/** Tests which bytes on a kept connection count as the response to a request; responses of the store carry no identifier. */
@Timeout(120)
class HttpClientReuseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
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

    private ScriptedServer server(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(group, script);
        resources.add(server);
        return server;
    }

    private static HttpClientRequest request() {
        return HttpClientRequest.get("/", TIMEOUT_MILLIS);
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
        ScriptedServer server = server((number, socket) -> ScriptedServer.write(socket, LENGTH_LAST));

        server.send(request());
        server.send(request());

        assertEquals(2, server.requests());
        assertEquals(1, server.connections());
    }

    /** Guards against a late response, or a part of one, that is taken for the next call's or joined with it. */
    @Test
    void shouldNotReuseAConnectionWhenBytesArriveWhileItIsIdle() throws Exception {
        for (String late : List.of(LENGTH_LAST, LENGTH_FIRST, SAME_LENGTH, CHUNKS, NO_BODY, "\r\n")) {
            for (int bytes = 1; bytes <= late.length(); bytes++) {
                ScriptedServer server =
                        server((number, socket) -> ScriptedServer.write(socket, number == 1 ? LENGTH_LAST : OWN));
                server.send(request());
                ScriptedServer.write(server.newest(), late.substring(0, bytes));
                server.awaitReceived(LENGTH_LAST.length() + bytes);

                assertEquals(OWN_STATUS, status(server.send(request())), late.substring(0, bytes));
                assertEquals(2, server.connections(), late.substring(0, bytes));
            }
        }
    }

    /** Guards against a late response that is taken for the next call's, as it arrived before that but was not read yet. */
    @Test
    void shouldNotReuseAConnectionWhenBytesHaveArrivedUnread() throws Exception {
        ScriptedServer server =
                server((number, socket) -> ScriptedServer.write(socket, number == 1 ? LENGTH_LAST : OWN));
        server.send(request());
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket sending = new Socket(listening.getInetAddress(), listening.getLocalPort());
                Socket receiving = listening.accept()) {
            group.next().execute(() -> {
                try {
                    ScriptedServer.write(server.newest(), LENGTH_LAST);
                    // What is sent after it has arrived, so it has arrived, too.
                    ScriptedServer.write(sending, "x");
                    receiving.getInputStream().read();
                    server.client().send(request(), response::complete);
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
        ScriptedServer server =
                server((number, socket) -> ScriptedServer.write(socket, number == 1 ? LENGTH_LAST : OWN));
        server.send(request());
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket sending = new Socket(listening.getInetAddress(), listening.getLocalPort());
                Socket receiving = listening.accept()) {
            group.next().execute(() -> {
                try {
                    server.newest().shutdownOutput();
                    ScriptedServer.write(sending, "x");
                    receiving.getInputStream().read();
                    server.client().send(request(), response::complete);
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
        ScriptedServer server =
                server((number, socket) -> ScriptedServer.write(socket, number == 1 ? LENGTH_LAST + NO_BODY : OWN));
        CompletableFuture<Option<HttpClientResponse>> first = new CompletableFuture<>();
        CompletableFuture<Option<HttpClientResponse>> second = new CompletableFuture<>();
        group.next().execute(() -> server.client().send(request(), response -> {
            first.complete(response);
            server.client().send(request(), second::complete);
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
                ScriptedServer server =
                        server((number, socket) -> ScriptedServer.write(socket, number == 1 ? LENGTH_LAST : sent));
                server.send(request());

                checkOwnOrNone(server.send(request()), sent);
            }
        }
    }

    /** Guards against the same where the late part was read before the own response arrived. */
    @Test
    void shouldNotReturnALateResponseWhenItStopsBeforeTheOwnOneArrives() throws Exception {
        for (String late : List.of(LENGTH_LAST, LENGTH_FIRST, SAME_LENGTH, CHUNKS, NO_BODY, CLOSE_DELIMITED_HEAD)) {
            for (int bytes = 0; bytes < late.length(); bytes++) {
                String part = late.substring(0, bytes);
                CompletableFuture<ScriptedServer> started = new CompletableFuture<>();
                ScriptedServer server = server((number, socket) -> {
                    ScriptedServer.write(socket, number == 1 ? LENGTH_LAST : part);
                    if (number > 1) {
                        started.join().awaitReceived(LENGTH_LAST.length() + part.length());
                        ScriptedServer.write(socket, OWN);
                    }
                });
                started.complete(server);
                server.send(request());

                checkOwnOrNone(server.send(request()), part + "|" + OWN);
            }
        }
    }

    /** Guards against an informational response that is taken for the response, and that for the next call's. */
    @Test
    void shouldReturnTheFinalResponseWhenInformationalOnesComeBefore() throws Exception {
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        ScriptedServer server =
                server((number, socket) -> ScriptedServer.write(socket, interim + (number == 1 ? OWN : LENGTH_LAST)));

        Option<HttpClientResponse> first = server.send(request());
        Option<HttpClientResponse> second = server.send(request());

        assertEquals(OWN_STATUS, status(first));
        assertEquals(BODY, new String(second.get().body(), StandardCharsets.US_ASCII));
        assertEquals(1, server.connections());
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
        ScriptedServer server = server((number, socket) -> {
            ScriptedServer.write(socket, sent);
            if (reset) {
                // Without lingering, a close resets the connection.
                socket.setSoLinger(true, 0);
            }
            throw new IOException("connection closed by the test");
        });

        assertEquals(0, status(server.send(request())), sent);
    }

    /** Guards against calls that fail unsent, as their connection has ended with the response before. */
    @Test
    void shouldSendTheNextCallOnANewConnectionWhenAResponseEndedItsOwn() throws Exception {
        ScriptedServer server = server((number, socket) -> {
            ScriptedServer.write(socket, number == 1 ? CLOSE_DELIMITED_HEAD + BODY : OWN);
            throw new IOException("connection closed by the test");
        });
        CompletableFuture<Option<HttpClientResponse>> first = new CompletableFuture<>();
        CompletableFuture<Option<HttpClientResponse>> second = new CompletableFuture<>();
        group.next().execute(() -> server.client().send(request(), response -> {
            first.complete(response);
            server.client().send(request(), second::complete);
        }));

        assertEquals(BODY, new String(first.get().get().body(), StandardCharsets.US_ASCII));
        assertEquals(OWN_STATUS, status(second.get()));
    }
}
