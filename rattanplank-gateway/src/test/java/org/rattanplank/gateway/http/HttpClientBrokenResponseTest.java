package org.rattanplank.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The store sends responses that break the syntax of HTTP, or that end with a reset. Guards against such a response
 * that counts as the store's answer, and against a sound one that is refused.
 */
@Timeout(60)
class HttpClientBrokenResponseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long PAUSE_NANOS = 20_000_000;
    private static final int REPETITIONS = 20;

    /** More than the sockets of a connection buffer. */
    private static final int UPLOAD_BYTES = 4 << 20;

    private static final String BODY = "{\"revision\":9}";
    private static final String LENGTH = "Content-Length: 14\r\n";

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

    /** Sends a request to a server that closes the connection after the given bytes. */
    private Option<HttpClientResponse> receive(String sent) throws Exception {
        return send(
                server((number, socket) -> {
                    ScriptedServer.write(socket, sent);
                    throw new IOException("connection closed by the test");
                }),
                0);
    }

    private static Option<HttpClientResponse> send(ScriptedServer server, int bodyBytes) throws Exception {
        return server.send(new HttpClientRequest("PUT", "/key", new byte[bodyBytes], TIMEOUT_MILLIS));
    }

    /** Guards against a change that counts as made, or as refused, with a status that no answer has. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 OK", "0 OK", "99 OK", "600 OK", "999 OK", "0200 OK", "+200 OK", "2000 OK", "-200 OK", "20x OK"
            })
    void shouldReceiveNoResponseWhenItsStatusIsInvalid(String status) throws Exception {
        assertTrue(
                receive("HTTP/1.1 " + status + "\r\n" + LENGTH + "\r\n" + BODY).isEmpty());
    }

    /** Guards against a body that the store hasn't sent so, as the field that frames it has a broken name. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Store Era: 7\r\n" + LENGTH,
                "Store-Era : 7\r\n" + LENGTH,
                "Store-Era\t: 7\r\n" + LENGTH,
                "Store\u0001Era: 7\r\n" + LENGTH,
                "Store-Era 7\r\n" + LENGTH,
                " Content-Length: 3\r\n",
                "Store-Era: 7\r\n Content-Length: 3\r\n",
                "Content Length: 3\r\n",
                "Content-Length : 14\r\n"
            })
    void shouldReceiveNoResponseWhenAFieldNameIsNoToken(String fields) throws Exception {
        assertTrue(receive("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + BODY).isEmpty());
    }

    /** Guards against an answer that is believed though its trailers are broken. */
    @ParameterizedTest
    @ValueSource(strings = {"X Odd: 1", "X-Odd : 1", "X\u0001Odd: 1", "X-Odd 1"})
    void shouldReceiveNoResponseWhenAFieldNameOfItsTrailersIsNoToken(String trailer) throws Exception {
        String chunks = "e\r\n" + BODY + "\r\n0\r\n" + trailer + "\r\n\r\n";

        assertTrue(receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
                .isEmpty());
    }

    /** Guards against an answer that is believed though a broken head came before it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n",
                "HTTP/1.1 000 X\r\n\r\n",
                "HTTP/1.1 0100 Continue\r\n\r\n"
            })
    void shouldReceiveNoResponseWhenAMalformedHeadPrecedesIt(String preceding) throws Exception {
        assertTrue(receive(preceding + "HTTP/1.1 200 OK\r\n" + LENGTH + "\r\n" + BODY)
                .isEmpty());
    }

    /** Guards against a part of a body without a length that counts as the whole, as its connection was reset. */
    @ParameterizedTest
    @ValueSource(ints = {0, UPLOAD_BYTES})
    void shouldReceiveNoResponseWhenABodyWithoutALengthIsReset(int uploadBytes) throws Exception {
        ScriptedServer server = server((number, socket) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + BODY.substring(0, 5));
            LockSupport.parkNanos(PAUSE_NANOS);
            // Without lingering, a close resets the connection.
            socket.setSoLinger(true, 0);
            throw new IOException("connection closed by the test");
        });

        for (int i = 0; i < REPETITIONS; i++) {
            assertTrue(send(server, uploadBytes).isEmpty());
        }
    }

    /** Guards against an answer that is refused as its head is unusual. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200\r\n" + LENGTH,
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\n" + LENGTH,
                "HTTP/1.1 200 OK\r\nX-Time: a : b\r\n" + LENGTH,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + LENGTH
            })
    void shouldReceiveTheResponseWhenItsHeadIsSoundButUnusual(String head) throws Exception {
        HttpClientResponse response = receive(head + "\r\n" + BODY).get();

        assertEquals(200, response.status());
        assertEquals(BODY, new String(response.body(), StandardCharsets.ISO_8859_1));
    }
}
